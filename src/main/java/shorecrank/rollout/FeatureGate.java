package shorecrank.rollout;

import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.RolloutMessages;
import shorecrank.protocol.RolloutMessages.FeatureLevel;
import shorecrank.protocol.RolloutMessages.RolloutNotice;
import shorecrank.protocol.StoreMessages.Transaction;

/**
 * Decides whether a feature may be used, from the latest known feature level.
 *
 * <p>The known level may be out of date, which is safe: forms of the lowest level may always be
 * written, and every write of a newer form is guarded by {@link #guard}, which fails once the value
 * of the feature level's key has changed.
 */
public final class FeatureGate {
  /** The notice of the highest revision received so far; null before the first. */
  private RolloutNotice latest;

  /** Highest revision at which the guard is known to fail; notices up to it permit no feature. */
  private Revision refusedUpTo = Revision.ABSENT;

  /**
   * Receives a notice of the feature level from the leader or the state service. Null and notices
   * that are not newer than the known one are ignored.
   */
  public void observe(RolloutNotice notice) {
    if (notice != null && (latest == null || notice.revision().isAfter(latest.revision()))) {
      latest = notice;
    }
  }

  /**
   * Reports whether values may be written in the feature's form, in a transaction with {@link
   * #guard}.
   */
  public boolean permits(Feature feature) {
    return latest != null
        && latest.revision().isAfter(refusedUpTo)
        && latest.state().writeLevel().includes(feature.level());
  }

  /**
   * Adds a guard to a transaction that makes it fail if the feature level has changed since the
   * notice that {@link #permits} used; call it only if a feature is permitted.
   */
  public void guard(Transaction transaction) {
    transaction.guard(RolloutMessages.KEY, latest.revision());
  }

  /**
   * Called after a guard on the feature level's key has failed; no feature is permitted until a
   * newer notice is received.
   */
  public void onGuardFailed() {
    if (latest != null) {
      refusedUpTo = latest.revision();
    }
  }

  /** Returns the highest level whose forms may be written, according to the latest notice. */
  public FeatureLevel writeLevel() {
    return latest == null ? FeatureLevel.LOWEST : latest.state().writeLevel();
  }
}
