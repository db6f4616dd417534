package shorecrank.leadership;

import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.StoreMessages.Entry;
import shorecrank.protocol.StoreMessages.Transaction;
import shorecrank.storage.CommitResult;
import shorecrank.storage.ReadResult;

/**
 * A key of the state service that only the leader writes. It is read anew under every term, and
 * written by compare-and-swap behind its own revision and the leader's term.
 *
 * <p>A write of unknown outcome may still be carried out. The key is then in doubt: no other value
 * is written until a later write behind the same guard, or a new reading, has shown what became of
 * the first.
 *
 * @param <V> the value's type
 */
public final class LeaderKey<V> {
  private static final long RETRY_MS = 300;

  /** While the key may not be written, it is read again after so long. */
  private static final long REREAD_INTERVAL_MS = 1000;

  /** What a new reading of the key says of a write whose outcome was unknown. */
  public enum WriteOutcome {
    /** It may still be carried out. */
    UNKNOWN,
    COMMITTED,
    /** It was not carried out and never will be. */
    NOT_COMMITTED
  }

  /**
   * A new reading of the key while a write is in doubt.
   *
   * @param writeTerm the term under which the write was sent
   * @param previousReadTerm the term of the reading before; {@link Revision#ABSENT} if that one
   *     does not count any more
   * @param readTerm the term of this reading
   * @param isChanged whether the key's revision is above the one that the write expected
   * @param wasWritable whether the key might be written when the reading began
   */
  public record Reading(
      Revision writeTerm,
      Revision previousReadTerm,
      Revision readTerm,
      boolean isChanged,
      boolean wasWritable) {}

  /**
   * What holds for one key beyond the rules of all of them.
   *
   * @param <V> the value's type
   */
  public interface Rules<V> {
    /** Whether the key may be written now; if not, it is read again from time to time. */
    boolean canWrite();

    /** Adds guards beyond the leader's term and the key's revision. */
    void addGuards(Transaction transaction);

    /** A write was refused because of the guards of these keys. */
    void guardsFailed(Set<String> failedKeys);

    /** Whether a write that was refused by a guard may still have been carried out. */
    boolean isConflictInDoubt();

    /** Says what a new reading shows of the write that is in doubt. */
    WriteOutcome resolveOutcome(Reading reading);

    /**
     * The key is no longer in doubt.
     *
     * @param before the value that was known while it was in doubt
     */
    void outcomeResolved(boolean isCommitted, V before);
  }

  private final LeaderEnvironment environment;
  private final Leadership leadership;
  private final LeaderKeyCodec<V> codec;
  private final Rules<V> rules;
  private final SequentialStore store;

  /** The term under which the key was read; {@link Revision#ABSENT} if it has to be read anew. */
  private Revision readTerm = Revision.ABSENT;

  private Revision revision = Revision.ABSENT;
  private V value;
  private boolean isKnown;
  private MonotonicTime readAt = MonotonicTime.NEVER;

  /** The value of a write that is under way or in doubt; null if there is none. */
  private V pending;

  private Revision pendingTerm = Revision.ABSENT;
  private boolean isInDoubt;

  /** A key that was not read yet. */
  public LeaderKey(
      LeaderEnvironment environment,
      Leadership leadership,
      LeaderKeyCodec<V> codec,
      Rules<V> rules) {
    this.environment = environment;
    this.leadership = leadership;
    this.codec = codec;
    this.rules = rules;
    this.store = new SequentialStore(environment);
    this.value = codec.initial();
  }

  /** Whether the key was read under the present term, whatever it holds. */
  public boolean isRead() {
    return leadership.isLeading() && readTerm.equals(leadership.term());
  }

  /** Whether the key was read under the present term, and holds a value that this build reads. */
  public boolean isReadable() {
    return isRead() && isKnown;
  }

  /** Whether the last reading, under whatever term, found a value that this build reads. */
  public boolean isKnown() {
    return isKnown;
  }

  /** Whether a write may still be carried out although its outcome is unknown. */
  public boolean isInDoubt() {
    return isInDoubt;
  }

  /** Whether a write can be begun. */
  public boolean isIdle() {
    return isReadable() && store.isIdle() && !isInDoubt && rules.canWrite();
  }

  /** The value last read or written; the initial one before the first reading. */
  public V value() {
    return value;
  }

  /** The key's revision as last read or written; {@link Revision#ABSENT} if it does not exist. */
  public Revision revision() {
    return revision;
  }

  /** The value of a write that is under way or in doubt. */
  public Optional<V> pending() {
    return Optional.ofNullable(pending);
  }

  /** Reads the key, or settles a write that is in doubt, if that is due. */
  public void tick() {
    if (!leadership.isLeading()) {
      readTerm = Revision.ABSENT;
      return;
    }
    if (!store.isReady()) {
      return;
    }
    if (!isRead()) {
      read();
    } else if (!rules.canWrite()) {
      if (environment.now().since(readAt) >= REREAD_INTERVAL_MS) {
        read();
      }
    } else if (isInDoubt) {
      rewriteKnownValue();
    }
  }

  /** The leader's own key has moved on together with this one: what was read still holds. */
  public void continueUnderNewTerm() {
    readTerm = leadership.term();
  }

  private void read() {
    readAt = environment.now();
    Revision term = leadership.term();
    boolean mayWrite = rules.canWrite();
    store.read(
        codec.key(),
        result -> {
          if (result instanceof ReadResult.Found found) {
            Entry entry = found.entry();
            applyReading(term, codec.read(entry.value()), entry.revision(), mayWrite);
          } else if (result instanceof ReadResult.Absent) {
            applyReading(term, Optional.of(codec.initial()), Revision.ABSENT, mayWrite);
          } else {
            store.pause(RETRY_MS);
          }
        });
  }

  private void applyReading(Revision term, Optional<V> found, Revision foundAt, boolean mayWrite) {
    isKnown = found.isPresent();
    if (!isKnown) {
      environment.reportRefusal(
          "state.unreadable", "store.value.unreadable key=%s".formatted(codec.key()));
    }
    Reading reading = new Reading(pendingTerm, readTerm, term, foundAt.isAfter(revision), mayWrite);
    V before = value;
    value = found.orElse(value);
    revision = foundAt;
    readTerm = term;
    WriteOutcome outcome = isInDoubt ? rules.resolveOutcome(reading) : WriteOutcome.UNKNOWN;
    if (outcome != WriteOutcome.UNKNOWN) {
      finishWrite(outcome == WriteOutcome.COMMITTED, before);
    }
  }

  private void finishWrite(boolean isCommitted, V before) {
    pending = null;
    isInDoubt = false;
    rules.outcomeResolved(isCommitted, before);
  }

  /**
   * Writes a value; {@link #isIdle} must hold.
   *
   * @param additions adds what is to be carried out with it, or not at all
   * @param then takes the result; unknown too if the key was given up or read under another term
   *     meanwhile
   */
  public void write(V next, Consumer<Transaction> additions, Consumer<CommitResult> then) {
    pending = next;
    pendingTerm = readTerm;
    commit(
        next,
        additions,
        result -> {
          boolean isRefused = result instanceof CommitResult.Conflict;
          isInDoubt = result.isUnknown() || (isRefused && rules.isConflictInDoubt());
          if (!isInDoubt) {
            pending = null;
          }
          then.accept(result);
        });
  }

  /** Writes the known value once more: if that succeeds, the write in doubt never will. */
  private void rewriteKnownValue() {
    commit(
        value,
        transaction -> {},
        result -> {
          if (result.isCommitted()) {
            finishWrite(false, value);
          }
        });
  }

  private void commit(V next, Consumer<Transaction> additions, Consumer<CommitResult> then) {
    Revision term = readTerm;
    Transaction transaction = new Transaction();
    leadership.guard(transaction);
    rules.addGuards(transaction);
    transaction.guard(codec.key(), revision).write(codec.key(), codec.write(next));
    additions.accept(transaction);
    store.commit(
        transaction,
        result -> {
          if (!readTerm.equals(term)) {
            then.accept(new CommitResult.Unknown(0));
            return;
          }
          if (result instanceof CommitResult.Committed committed) {
            revision = committed.revision();
            value = next;
          } else {
            store.pause(RETRY_MS);
          }
          if (result instanceof CommitResult.Conflict conflict) {
            // Another process leads, a further guard failed, or an earlier write came late.
            rules.guardsFailed(conflict.failedKeys());
            readTerm = Revision.ABSENT;
          }
          then.accept(result);
        });
  }
}
