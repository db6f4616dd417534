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
  private RolloutNotice latest;

  /** Notices up to this revision permit nothing, since a guard on it has failed. */
  private Revision refusedUpTo = Revision.ABSENT;

  /** Takes a notice from the leader or the state service; null and earlier ones are ignored. */
  public void observe(RolloutNotice notice) {
    if (notice != null && (latest == null || notice.revision().isAfter(latest.revision()))) {
      latest = notice;
    }
  }

  /** Whether the feature's forms may be written, behind {@link #guard}. */
  public boolean permits(Feature feature) {
    return latest != null
        && latest.revision().isAfter(refusedUpTo)
        && latest.state().writeLevel().includes(feature.level());
  }

  /** Makes a transaction fail unless the level is still the one that {@link #permits} used. */
  public void guard(Transaction transaction) {
    transaction.guard(RolloutMessages.KEY, latest.revision());
  }

  /** A guard failed: nothing above the lowest level is written until a newer notice comes. */
  public void guardFailed() {
    if (latest != null) {
      refusedUpTo = latest.revision();
    }
  }

  /** The highest level whose forms may be written, as far as latest. */
  public FeatureLevel writeLevel() {
    return latest == null ? FeatureLevel.LOWEST : latest.state().writeLevel();
  }
}
