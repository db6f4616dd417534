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
 * The shares' key as the leader reads and writes it, behind the feature level: while the level
 * forbids shares, the key is only read.
 */
final class SharesStore {
  private static final LeaderKeyCodec<SharesState> CODEC =
      new LeaderKeyCodec<>(
          ShareStateMessages.KEY,
          SharesState.INITIAL,
          ShareStateCodec::read,
          ShareStateCodec::write);

  /** Told once a change of unknown outcome is settled. */
  @FunctionalInterface
  interface ResolutionListener {
    /** The key is no longer in doubt. */
    void outcomeResolved(boolean isCarriedOut);
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

  /** Whether the key was read under the present term, whatever it holds. */
  boolean isRead() {
    return key.isRead();
  }

  /** Whether the key was read under the present term, and holds a value that this build reads. */
  boolean isReadable() {
    return key.isReadable();
  }

  /** Whether a change may still be carried out although its outcome is unknown. */
  boolean isInDoubt() {
    return key.isInDoubt();
  }

  /** Whether changes are allowed at the feature level in force. */
  boolean isPermitted() {
    return gate.permits(Feature.SHARES);
  }

  /** Whether a change can be begun. */
  boolean isIdle() {
    return key.isIdle();
  }

  /** The key's revision as last read or written. */
  Revision revision() {
    return key.revision();
  }

  /** The key's value as last read or written; the initial one before the first reading. */
  SharesState state() {
    return key.value();
  }

  /** Reads the key, or settles a change of unknown outcome, if that is due. */
  void tick() {
    key.tick();
  }

  /**
   * Changes the key; {@link #isIdle} must hold.
   *
   * @param additions adds what is to be carried out with it, or not at all
   */
  void write(SharesState next, Consumer<Transaction> additions, Consumer<CommitResult> then) {
    key.write(next, additions, then);
  }

  /** The guard of the feature level, and when a change of unknown outcome is settled. */
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
    public void guardsFailed(Set<String> failedKeys) {
      if (failedKeys.contains(RolloutMessages.KEY)) {
        gate.guardFailed();
      }
    }

    @Override
    public boolean isConflictInDoubt() {
      return false;
    }

    @Override
    public WriteOutcome resolveOutcome(Reading reading) {
      if (reading.isChanged()) {
        // Nobody else writes the key.
        return WriteOutcome.COMMITTED;
      }
      boolean isSameTerm =
          reading.previousReadTerm().equals(Revision.ABSENT)
              || reading.previousReadTerm().equals(reading.readTerm());
      // If the level forbids changes, the level's key, which guards every change, has moved on.
      return isSameTerm && reading.wasWritable()
          ? WriteOutcome.UNKNOWN
          : WriteOutcome.NOT_COMMITTED;
    }

    @Override
    public void outcomeResolved(boolean isCommitted, SharesState before) {
      listener.outcomeResolved(isCommitted);
    }
  }
}
