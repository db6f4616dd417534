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
 * A key of the state service that only the leader writes. It is read again in every term, and
 * written by compare-and-swap, guarded by the key's revision and the leader's term.
 *
 * <p>A write whose outcome is unknown may still be committed later. The key is then in doubt: no
 * new value is written until a further write with the same guards, or another read, has shown
 * whether the write was committed.
 *
 * @param <V> the value's type
 */
public final class LeaderKey<V> {
  private static final long RETRY_MS = 300;

  /** How often the key is read again while the rules do not allow it to be written. */
  private static final long REREAD_INTERVAL_MS = 1000;

  /** What a read of the key shows about a write whose outcome was unknown. */
  public enum WriteOutcome {
    /** The write may still be committed. */
    UNKNOWN,
    /** The write was committed. */
    COMMITTED,
    /** The write was not committed and never will be. */
    NOT_COMMITTED
  }

  /**
   * A read of the key while a write is in doubt.
   *
   * @param writeTerm the term in which the write was sent
   * @param previousReadTerm the term of the previous read, or {@link Revision#ABSENT} if that read
   *     is no longer valid
   * @param readTerm the term of this read
   * @param isChanged whether the key's revision is higher than the one that the write expected
   * @param wasWritable whether the rules allowed the key to be written when this read began
   */
  public record Reading(
      Revision writeTerm,
      Revision previousReadTerm,
      Revision readTerm,
      boolean isChanged,
      boolean wasWritable) {}

  /**
   * The rules of one key, in addition to those that hold for every leader's key.
   *
   * @param <V> the value's type
   */
  public interface Rules<V> {
    /** Reports whether the key may be written now; if not, it is read again periodically. */
    boolean canWrite();

    /** Adds further guards to a write, besides the leader's term and the key's revision. */
    void addGuards(Transaction transaction);

    /** Called after a write was refused because the guards of the given keys failed. */
    void onGuardsFailed(Set<String> failedKeys);

    /** Reports whether a write that was refused by a guard may have been committed nevertheless. */
    boolean isConflictInDoubt();

    /** Returns what a read of the key shows about the write in doubt. */
    WriteOutcome resolveOutcome(Reading reading);

    /**
     * Called after the outcome of the write in doubt has become known.
     *
     * @param isCommitted whether the write was committed
     * @param before the last known value while the key was in doubt
     */
    void onOutcomeResolved(boolean isCommitted, V before);
  }

  private final LeaderEnvironment environment;
  private final Leadership leadership;
  private final LeaderKeyCodec<V> codec;
  private final Rules<V> rules;
  private final SequentialStore store;

  /**
   * The term in which the key was last read; {@link Revision#ABSENT} if it has to be read again.
   */
  private Revision readTerm = Revision.ABSENT;

  private Revision revision = Revision.ABSENT;
  private V value;
  private boolean isKnown;
  private MonotonicTime readAt = MonotonicTime.NEVER;

  /** The value of the write that is in flight or in doubt; null if there is none. */
  private V pending;

  private Revision pendingTerm = Revision.ABSENT;
  private boolean isInDoubt;

  /** Creates a key that has not been read yet. */
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

  /** Reports whether the key was read in the current term, even if its value is unreadable. */
  public boolean isRead() {
    return leadership.isLeading() && readTerm.equals(leadership.term());
  }

  /** Reports whether the key was read in the current term and this build can read its value. */
  public boolean isReadable() {
    return isRead() && isKnown;
  }

  /** Reports whether the last read, in any term, found a value that this build can read. */
  public boolean isKnown() {
    return isKnown;
  }

  /** Reports whether there is a write of unknown outcome, which may still be committed. */
  public boolean isInDoubt() {
    return isInDoubt;
  }

  /** Reports whether {@link #write} may be called now. */
  public boolean isIdle() {
    return isReadable() && store.isIdle() && !isInDoubt && rules.canWrite();
  }

  /** Returns the value last read or written, or the codec's initial value before the first read. */
  public V value() {
    return value;
  }

  /**
   * Returns the key's revision as last read or written, or {@link Revision#ABSENT} if the key does
   * not exist.
   */
  public Revision revision() {
    return revision;
  }

  /** Returns the value of the write that is in flight or in doubt; empty if there is none. */
  public Optional<V> pending() {
    return Optional.ofNullable(pending);
  }

  /**
   * Starts the next call that is due: reads the key if it has to be read in this term, or resolves
   * a write in doubt by writing the known value again. While the rules do not allow writes, the key
   * is read again every {@link #REREAD_INTERVAL_MS}.
   */
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

  /**
   * Treats the key as read in the current term. Called after a transaction has written this key
   * together with the leader's own key: that begins a new term, but the known value is still the
   * stored one.
   */
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

  private void applyReading(
      Revision term, Optional<V> found, Revision foundRevision, boolean mayWrite) {
    isKnown = found.isPresent();
    if (!isKnown) {
      environment.reportError(
          "state.unreadable", "store.value.unreadable key=%s".formatted(codec.key()));
    }
    Reading reading =
        new Reading(pendingTerm, readTerm, term, foundRevision.isAfter(revision), mayWrite);
    V before = value;
    value = found.orElse(value);
    revision = foundRevision;
    readTerm = term;
    WriteOutcome outcome = isInDoubt ? rules.resolveOutcome(reading) : WriteOutcome.UNKNOWN;
    if (outcome != WriteOutcome.UNKNOWN) {
      finishWrite(outcome == WriteOutcome.COMMITTED, before);
    }
  }

  private void finishWrite(boolean isCommitted, V before) {
    pending = null;
    isInDoubt = false;
    rules.onOutcomeResolved(isCommitted, before);
  }

  /**
   * Writes a value. Callers must check {@link #isIdle} first.
   *
   * @param additions adds operations that are committed atomically with the write
   * @param callback receives the result, which is unknown if this process stopped leading, or the
   *     key was read in another term, before the answer came
   */
  public void write(V next, Consumer<Transaction> additions, Consumer<CommitResult> callback) {
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
          callback.accept(result);
        });
  }

  /**
   * Writes the known value again. If that is committed, the key's revision has changed, so that the
   * write in doubt can never be committed any more.
   */
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

  private void commit(V next, Consumer<Transaction> additions, Consumer<CommitResult> callback) {
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
            callback.accept(new CommitResult.Unknown(0));
            return;
          }
          if (result instanceof CommitResult.Committed committed) {
            revision = committed.revision();
            value = next;
          } else {
            store.pause(RETRY_MS);
          }
          if (result instanceof CommitResult.Conflict conflict) {
            // Another process leads, a guard that the rules added has failed, or an earlier write
            // that was in doubt has been committed.
            rules.onGuardsFailed(conflict.failedKeys());
            readTerm = Revision.ABSENT;
          }
          callback.accept(result);
        });
  }
}
