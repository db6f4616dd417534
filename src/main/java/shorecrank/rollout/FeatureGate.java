package shorecrank.rollout;

import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.RolloutMessages;
import shorecrank.protocol.RolloutMessages.FeatureLevel;
import shorecrank.protocol.RolloutMessages.RolloutNotice;
import shorecrank.protocol.StoreMessages.Transaction;

/**
 * Says whether a feature may be used now, by the feature level as last heard.
 *
 * <p>That level may be out of date, which is safe in both directions: forms of the lowest level may
 * always be written, and every write of a higher form carries the guard of {@link #guard}, which
 * fails once the level's key has changed.
 */
public final class FeatureGate {
  /** The latest notice; null before the first. */
  private RolloutNotice known;

  /** Notices up to this revision permit nothing, since a guard on it has failed. */
  private Revision refused = Revision.ABSENT;

  /** Takes a notice from the leader or the state service; null and earlier ones are ignored. */
  public void observe(RolloutNotice notice) {
    if (notice != null && (known == null || notice.revision().isAfter(known.revision()))) {
      known = notice;
    }
  }

  /** Whether the feature's forms may be written, behind {@link #guard}. */
  public boolean permits(Feature feature) {
    return known != null
        && known.revision().isAfter(refused)
        && known.state().writeLevel().includes(feature.level());
  }

  /** Makes a transaction fail unless the level is still the one that {@link #permits} used. */
  public void guard(Transaction transaction) {
    transaction.guard(RolloutMessages.KEY, known.revision());
  }

  /** A guard failed: nothing above the lowest level is written until a newer notice comes. */
  public void guardFailed() {
    if (known != null) {
      refused = known.revision();
    }
  }

  /** The highest level whose forms may be written, as far as known. */
  public FeatureLevel writeLevel() {
    return known == null ? FeatureLevel.LOWEST : known.state().writeLevel();
  }
}
