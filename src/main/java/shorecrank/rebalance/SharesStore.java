package shorecrank.rebalance;

import java.util.Set;
import java.util.function.Consumer;
import shorecrank.leadership.LeaderEnvironment;
import shorecrank.leadership.LeaderKey;
import shorecrank.leadership.LeaderKey.Reading;
import shorecrank.leadership.LeaderKey.WriteOutcome;
import shorecrank.leadership.LeaderKeyCodec;
import shorecrank.leadership.Leadership;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.RolloutMessages;
import shorecrank.protocol.ShareStateCodec;
import shorecrank.protocol.ShareStateMessages;
import shorecrank.protocol.ShareStateMessages.SharesState;
import shorecrank.protocol.StoreMessages.Transaction;
import shorecrank.rollout.Feature;
import shorecrank.rollout.FeatureGate;
import shorecrank.storage.CommitResult;

/**
 * Reads and writes the shares' key on behalf of the leader. The key is written only while the
 * feature level in force permits shares; every write is guarded by the level's key.
 */
final class SharesStore {
  private static final LeaderKeyCodec<SharesState> CODEC =
      new LeaderKeyCodec<>(
          ShareStateMessages.KEY,
          SharesState.INITIAL,
          ShareStateCodec::read,
          ShareStateCodec::write);

  /** Receives the outcome of a write that was in doubt. */
  @FunctionalInterface
  interface ResolutionListener {
    /** Called once the outcome of the write in doubt is known. */
    void onOutcomeResolved(boolean isCommitted);
  }

  private final FeatureGate gate;
  private final ResolutionListener listener;
  private final LeaderKey<SharesState> key;

  SharesStore(
      LeaderEnvironment environment,
      Leadership leadership,
      FeatureGate gate,
      ResolutionListener listener) {
    this.gate = gate;
    this.listener = listener;
    this.key = new LeaderKey<>(environment, leadership, CODEC, new SharesKeyRules());
  }

  /** Reports whether the shares' key was read under the present term, whatever its value. */
  boolean isRead() {
    return key.isRead();
  }

  /**
   * Reports whether the shares' key was read under the present term and this build can read its
   * value.
   */
  boolean isReadable() {
    return key.isReadable();
  }

  /** Reports whether there is a write of unknown outcome, which may still be committed. */
  boolean isInDoubt() {
    return key.isInDoubt();
  }

  /** Reports whether the feature level in force permits writes of the shares' key. */
  boolean isPermitted() {
    return gate.permits(Feature.SHARES);
  }

  /** Reports whether a write can begin now. */
  boolean isIdle() {
    return key.isIdle();
  }

  /** Returns the revision of the shares' key as last read or written. */
  Revision revision() {
    return key.revision();
  }

  /**
   * Returns the value of the shares' key as last read or written; the initial value before the
   * first read.
   */
  SharesState state() {
    return key.value();
  }

  /** Reads the shares' key, or resolves a write of unknown outcome, if that is due. */
  void tick() {
    key.tick();
  }

  /**
   * Writes the shares' key; {@link #isIdle} must be true.
   *
   * @param additions adds the guards and writes that belong into the same transaction
   * @param callback receives the result, which may be an unknown outcome
   */
  void write(SharesState next, Consumer<Transaction> additions, Consumer<CommitResult> callback) {
    key.write(next, additions, callback);
  }

  /** Guards writes by the feature level, and resolves writes of unknown outcome. */
  private final class SharesKeyRules implements LeaderKey.Rules<SharesState> {
    @Override
    public boolean canWrite() {
      return isPermitted();
    }

    @Override
    public void addGuards(Transaction transaction) {
      gate.guard(transaction);
    }

    @Override
    public void onGuardsFailed(Set<String> failedKeys) {
      if (failedKeys.contains(RolloutMessages.KEY)) {
        gate.onGuardFailed();
      }
    }

    @Override
    public boolean isConflictInDoubt() {
      return false;
    }

    @Override
    public WriteOutcome resolveOutcome(Reading reading) {
      if (reading.isChanged()) {
        // Only the leader writes the shares' key, so this write has changed it.
        return WriteOutcome.COMMITTED;
      }
      boolean isSameTerm =
          reading.previousReadTerm().equals(Revision.ABSENT)
              || reading.previousReadTerm().equals(reading.readTerm());
      // If the feature level now forbids writes, or the term has changed, the level's key or the
      // leader's key has a new revision. Both guard the write, so it can't be committed any more.
      return isSameTerm && reading.wasWritable()
          ? WriteOutcome.UNKNOWN
          : WriteOutcome.NOT_COMMITTED;
    }

    @Override
    public void onOutcomeResolved(boolean isCommitted, SharesState before) {
      listener.onOutcomeResolved(isCommitted);
    }
  }
}
