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
 * The feature level's key as the leader reads and writes it. A change of the level in force changes
 * the leader's own keys in the same transaction.
 *
 * <p>While the outcome of a write is unknown, the fleet is taken to be at the higher of both
 * levels.
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
   * @param highest the highest level that this build knows
   */
  LevelStore(LeaderEnvironment environment, Leadership leadership, FeatureLevel highest) {
    this.leadership = leadership;
    this.highest = highest;
    this.key = new LeaderKey<>(environment, leadership, CODEC, new LevelKeyRules());
  }

  /** Whether the key was read under the present term, whatever it holds. */
  boolean isRead() {
    return key.isRead();
  }

  /** Whether a change can be begun. */
  boolean isIdle() {
    return key.isIdle();
  }

  /** Whether the key was read under the present term, and holds a value that this build reads. */
  boolean isReadable() {
    return key.isReadable();
  }

  /** The key's value as last read or written; the initial one before the first reading. */
  RolloutState state() {
    return key.value();
  }

  /** What other controllers are told; empty while the level is not known for sure. */
  Optional<RolloutNotice> notice() {
    return key.isReadable() && key.pending().isEmpty()
        ? Optional.of(new RolloutNotice(key.value(), key.revision()))
        : Optional.empty();
  }

  /**
   * The level that every owner has to support: while a change is not settled, the higher one. If
   * the key was never read or is unreadable, the highest that this build knows.
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

  /** Reads the key, or settles a change of unknown outcome, if that is due. */
  void tick() {
    key.tick();
  }

  /** Changes the key; {@link #isIdle} must hold. */
  void write(RolloutState next, Consumer<CommitResult> then) {
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
            levelSwitched(level);
          }
          then.accept(result);
        });
  }

  private void levelSwitched(FeatureLevel level) {
    leadership.levelSwitched(level, key.revision());
    key.continueUnderNewTerm();
  }

  /** When a change of unknown outcome is settled. */
  private final class LevelKeyRules implements LeaderKey.Rules<RolloutState> {
    @Override
    public boolean canWrite() {
      return true;
    }

    @Override
    public void addGuards(Transaction transaction) {}

    @Override
    public void guardsFailed(Set<String> failedKeys) {}

    @Override
    public boolean isConflictInDoubt() {
      // The key is read again first, which shows it.
      return true;
    }

    @Override
    public WriteOutcome resolveOutcome(Reading reading) {
      if (!reading.readTerm().equals(reading.writeTerm())) {
        // Sent under an earlier term of this process: its guard refuses it.
        return WriteOutcome.NOT_COMMITTED;
      }
      // Under one term nobody else writes the key.
      return reading.isChanged() ? WriteOutcome.COMMITTED : WriteOutcome.UNKNOWN;
    }

    @Override
    public void outcomeResolved(boolean isCommitted, RolloutState before) {
      FeatureLevel level = key.value().level();
      if (isCommitted && key.isKnown() && !level.equals(before.level())) {
        levelSwitched(level);
      }
    }
  }
}
