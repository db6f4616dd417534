package shorecrank.rebalance;

import java.util.function.Consumer;
import shorecrank.leadership.LeaderEnvironment;
import shorecrank.leadership.Leadership;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.RolloutMessages;
import shorecrank.protocol.ShareMessages;
import shorecrank.protocol.ShareMessages.SharesState;
import shorecrank.protocol.StoreMessages;
import shorecrank.protocol.StoreMessages.Transaction;
import shorecrank.rollout.Feature;
import shorecrank.rollout.FeatureGate;

/**
 * The shares' key, as its only writer, the leader, reads and changes it: by compare-and-set under
 * its term, behind the feature level.
 *
 * <p>A change without an answer may still be carried out. Nothing else is changed until a later
 * write behind the same guard, or a new look, has shown whether it was.
 */
final class SharesStore {
  private static final long RETRY_MS = 300;

  /** While the level forbids changes, the key is looked at so often. */
  private static final long LOOK_MS = 1000;

  /** What became of a change. */
  enum Result {
    COMMITTED,
    REFUSED,
    /** Refused by a guard. */
    CONFLICT,
    UNKNOWN
  }

  /** Told what became of a change; the revision counts only if it was committed. */
  @FunctionalInterface
  interface OnWritten {
    void written(Result result, Revision revision);
  }

  /** Told once a change without an answer is settled. */
  @FunctionalInterface
  interface OnSettled {
    void settled(boolean carriedOut);
  }

  private final LeaderEnvironment environment;
  private final Leadership leadership;
  private final FeatureGate gate;
  private final OnSettled onSettled;
  private Revision loadedTerm = Revision.ABSENT;
  private Revision revision = Revision.ABSENT;
  private SharesState state = SharesState.INITIAL;
  private boolean unreadable;
  private boolean inDoubt;
  private boolean busy;
  private MonotonicTime retryAt = MonotonicTime.NEVER;
  private MonotonicTime lookedAt = MonotonicTime.NEVER;

  SharesStore(
      LeaderEnvironment environment, Leadership leadership, FeatureGate gate, OnSettled onSettled) {
    this.environment = environment;
    this.leadership = leadership;
    this.gate = gate;
    this.onSettled = onSettled;
  }

  /** Whether the key was read under the present term, whatever it holds. */
  boolean read() {
    return leadership.leading() && loadedTerm.equals(leadership.term());
  }

  /** Whether the key was read, and holds something that this build reads. */
  boolean readable() {
    return read() && !unreadable;
  }

  /** Whether a change may yet be carried out that is not known to have been. */
  boolean inDoubt() {
    return inDoubt;
  }

  /** Whether changes are allowed at the level in force. */
  boolean permitted() {
    return gate.permits(Feature.SHARES);
  }

  /** Whether a change can be begun. */
  boolean idle() {
    return readable() && !busy && !inDoubt && permitted();
  }

  /** The key's revision as last read or written. */
  Revision revision() {
    return revision;
  }

  SharesState state() {
    return state;
  }

  void tick() {
    if (!leadership.leading()) {
      loadedTerm = Revision.ABSENT;
      return;
    }
    if (busy || environment.now().before(retryAt)) {
      return;
    }
    if (!read()) {
      load();
    } else if (!permitted()) {
      // Whoever lowers the level ends the moves, and changes the key for that.
      if (environment.now().since(lookedAt) >= LOOK_MS) {
        load();
      }
    } else if (inDoubt) {
      settle();
    }
  }

  private void load() {
    busy = true;
    lookedAt = environment.now();
    Revision term = leadership.term();
    boolean mayChange = permitted();
    environment.state(
        "GET",
        StoreMessages.key(ShareMessages.KEY),
        null,
        (status, body) -> {
          busy = false;
          if (status != 200 && status != 404) {
            retryAt = environment.now().plus(RETRY_MS);
            return;
          }
          SharesState found = SharesState.INITIAL;
          Revision at = Revision.ABSENT;
          if (status == 200) {
            StoreMessages.Entry entry = StoreMessages.entry(body);
            found = ShareMessages.readState(entry.value());
            at = entry.revision();
          }
          loaded(term, found, at, mayChange);
        });
  }

  private void loaded(Revision term, SharesState found, Revision at, boolean mayChange) {
    unreadable = found == null;
    if (unreadable) {
      environment.refused(
          "state.unreadable", "the value of " + ShareMessages.KEY + " is unreadable, left alone");
    }
    boolean sameTerm = term.equals(loadedTerm) || loadedTerm.equals(Revision.ABSENT);
    boolean moved = at.after(revision);
    state = unreadable ? state : found;
    revision = at;
    loadedTerm = term;
    // Moved on: it was carried out, for nobody else writes. If the level forbids changes, the
    // level's key has moved on, which guards every change, so it never will be.
    if (inDoubt && (moved || !mayChange || !sameTerm)) {
      inDoubt = false;
      onSettled.settled(moved);
    }
  }

  /**
   * Changes the key; {@link #idle} must hold.
   *
   * @param more adds guards and changes that are to be carried out with it, or not at all
   */
  void write(SharesState next, Consumer<Transaction> more, OnWritten then) {
    send(
        next,
        more,
        (result, at) -> {
          inDoubt = result == Result.UNKNOWN;
          then.written(result, at);
        });
  }

  /** Writes what is there once more: that settles whether the change before it was carried out. */
  private void settle() {
    send(
        state,
        transaction -> {},
        (result, at) -> {
          if (result == Result.COMMITTED) {
            inDoubt = false;
            onSettled.settled(false);
          }
        });
  }

  private void send(SharesState next, Consumer<Transaction> more, OnWritten then) {
    busy = true;
    Revision term = loadedTerm;
    Transaction transaction = new Transaction();
    leadership.guard(transaction);
    gate.guard(transaction);
    transaction
        .guard(ShareMessages.KEY, revision)
        .write(ShareMessages.KEY, ShareMessages.write(next));
    more.accept(transaction);
    environment.state(
        "POST",
        StoreMessages.MULTI,
        transaction.body(),
        (status, body) -> {
          busy = false;
          if (!loadedTerm.equals(term)) {
            then.written(Result.UNKNOWN, Revision.ABSENT);
          } else if (status == 200) {
            revision = new Revision(StoreMessages.revision(body));
            state = next;
            then.written(Result.COMMITTED, revision);
          } else {
            retryAt = environment.now().plus(RETRY_MS);
            refused(status, StoreMessages.failed(body).contains(RolloutMessages.KEY));
            then.written(failure(status), Revision.ABSENT);
          }
        });
  }

  private static Result failure(int status) {
    if (status == 409) {
      return Result.CONFLICT;
    }
    return StoreMessages.notCarriedOut(status) ? Result.REFUSED : Result.UNKNOWN;
  }

  private void refused(int status, boolean byLevel) {
    if (byLevel) {
      gate.guardFailed();
    }
    if (status == 409) {
      // Somebody else leads, the level has changed, or a change of ours came late.
      loadedTerm = Revision.ABSENT;
    }
  }
}
