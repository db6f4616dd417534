package shorecrank.rollout;

import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import shorecrank.leadership.LeaderEnvironment;
import shorecrank.leadership.LeaderKey;
import shorecrank.leadership.LeaderKey.Reading;
import shorecrank.leadership.LeaderKey.WriteOutcome;
import shorecrank.leadership.LeaderKeyCodec;
import shorecrank.leadership.Leadership;
import shorecrank.protocol.RolloutCodec;
import shorecrank.protocol.RolloutMessages;
import shorecrank.protocol.RolloutMessages.FeatureLevel;
import shorecrank.protocol.RolloutMessages.RolloutNotice;
import shorecrank.protocol.RolloutMessages.RolloutState;
import shorecrank.protocol.StoreMessages.Transaction;
import shorecrank.storage.CommitResult;

/**
 * Reads and writes the key of the feature level for the leader. If a write changes the level in
 * force, the same transaction changes the leadership keys accordingly.
 *
 * <p>While the outcome of a write is unknown, the higher of the old and the new level counts as the
 * level in force.
 */
final class LevelStore {
  private static final LeaderKeyCodec<RolloutState> CODEC =
      new LeaderKeyCodec<>(
          RolloutMessages.KEY,
          RolloutState.INITIAL,
          RolloutCodec::readState,
          RolloutCodec::writeState);

  private final Leadership leadership;
  private final FeatureLevel highest;
  private final LeaderKey<RolloutState> key;

  /**
   * Creates a store whose key is not read yet.
   *
   * @param highest the highest level that this build supports
   */
  LevelStore(LeaderEnvironment environment, Leadership leadership, FeatureLevel highest) {
    this.leadership = leadership;
    this.highest = highest;
    this.key = new LeaderKey<>(environment, leadership, CODEC, new LevelKeyRules());
  }

  /** Reports whether the key has been read in the current term, even if its value is malformed. */
  boolean isRead() {
    return key.isRead();
  }

  /** Reports whether a write can be started. */
  boolean isIdle() {
    return key.isIdle();
  }

  /** Reports whether the key has been read in the current term and its value could be decoded. */
  boolean isReadable() {
    return key.isReadable();
  }

  /**
   * Returns the key's value as last read or written; {@link RolloutState#INITIAL} before the first
   * read.
   */
  RolloutState state() {
    return key.value();
  }

  /**
   * Returns the notice that is sent to the other controllers; empty while the value is not known or
   * the outcome of a write is unknown.
   */
  Optional<RolloutNotice> notice() {
    return key.isReadable() && key.pending().isEmpty()
        ? Optional.of(new RolloutNotice(key.value(), key.revision()))
        : Optional.empty();
  }

  /**
   * Returns the level that a controller must support to own a shard. While a write is in flight or
   * its outcome is unknown, that is the higher of the old and the new level. If no value of the key
   * has ever been decoded, it is the highest level that this build supports.
   */
  FeatureLevel requiredLevel() {
    if (!key.isKnown()) {
      return highest;
    }
    FeatureLevel level = key.value().level();
    return key.pending()
        .map(RolloutState::level)
        .filter(next -> next.compareTo(level) > 0)
        .orElse(level);
  }

  /** Reads the key, or resolves a write of unknown outcome, if that is due. */
  void tick() {
    key.tick();
  }

  /**
   * Writes the key; call it only if {@link #isIdle}.
   *
   * @param next the new value
   * @param callback receives the result
   */
  void write(RolloutState next, Consumer<CommitResult> callback) {
    FeatureLevel level = next.level();
    boolean switchesLevel = !level.equals(key.value().level());
    key.write(
        next,
        transaction -> {
          if (switchesLevel) {
            leadership.addLevelSwitch(transaction, level);
          }
        },
        result -> {
          if (result.isCommitted() && switchesLevel) {
            onLevelSwitched(level);
          }
          callback.accept(result);
        });
  }

  private void onLevelSwitched(FeatureLevel level) {
    leadership.onLevelSwitched(level, key.revision());
    key.continueUnderNewTerm();
  }

  /** Decides how the outcome of a write in doubt is determined from a later read of the key. */
  private final class LevelKeyRules implements LeaderKey.Rules<RolloutState> {
    @Override
    public boolean canWrite() {
      return true;
    }

    @Override
    public void addGuards(Transaction transaction) {}

    @Override
    public void onGuardsFailed(Set<String> failedKeys) {}

    @Override
    public boolean isConflictInDoubt() {
      // A refused write counts as in doubt; the next read of the key determines its outcome.
      return true;
    }

    @Override
    public WriteOutcome resolveOutcome(Reading reading) {
      if (!reading.readTerm().equals(reading.writeTerm())) {
        // The write is guarded by an earlier term of this process, so it can no longer be
        // committed.
        return WriteOutcome.NOT_COMMITTED;
      }
      // Within a term only this process writes the key, so a change is the write in doubt.
      return reading.isChanged() ? WriteOutcome.COMMITTED : WriteOutcome.UNKNOWN;
    }

    @Override
    public void onOutcomeResolved(boolean isCommitted, RolloutState before) {
      FeatureLevel level = key.value().level();
      if (isCommitted && key.isKnown() && !level.equals(before.level())) {
        onLevelSwitched(level);
      }
    }
  }
}
