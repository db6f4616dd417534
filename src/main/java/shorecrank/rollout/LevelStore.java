package shorecrank.rollout;

import shorecrank.leadership.LeaderEnvironment;
import shorecrank.leadership.Leadership;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.RolloutMessages;
import shorecrank.protocol.RolloutMessages.FeatureLevel;
import shorecrank.protocol.RolloutMessages.Notice;
import shorecrank.protocol.RolloutMessages.RolloutState;
import shorecrank.protocol.StoreMessages;
import shorecrank.protocol.StoreMessages.Transaction;

/**
 * The level's key, as its only writer, the leader, reads and changes it: by compare-and-set under
 * its term.
 *
 * <p>A change without an answer may still be carried out. Until a later write behind the same guard
 * has shown whether it was, the fleet is taken to be at the higher of both levels.
 */
final class LevelStore {
  private static final long RETRY_MS = 300;

  /** Told once what became of a change. */
  @FunctionalInterface
  interface OnWritten {
    void written(Result result);
  }

  /** What became of a change. */
  enum Result {
    COMMITTED,
    REFUSED,
    UNKNOWN
  }

  private final LeaderEnvironment environment;
  private final Leadership leadership;
  private final FeatureLevel highest;
  private Revision loadedTerm = Revision.ABSENT;
  private Revision revision = Revision.ABSENT;
  private RolloutState state;
  private boolean unreadable;

  /** A change that is under way, or without an answer. */
  private RolloutState outstanding;

  private Revision outstandingTerm = Revision.ABSENT;
  private boolean busy;
  private MonotonicTime retryAt = MonotonicTime.NEVER;

  /**
   * @param highest the highest level that this build knows
   */
  LevelStore(LeaderEnvironment environment, Leadership leadership, FeatureLevel highest) {
    this.highest = highest;
    this.environment = environment;
    this.leadership = leadership;
  }

  /** Whether the key was read under the present term, and holds something that this build reads. */
  boolean ready() {
    return read() && !unreadable;
  }

  /** Whether the key was read under the present term, whatever it holds. */
  boolean read() {
    return leadership.leading() && loadedTerm.equals(leadership.term());
  }

  /** Whether a change can be begun. */
  boolean idle() {
    return ready() && !busy && outstanding == null;
  }

  RolloutState state() {
    return state;
  }

  /** What other controllers are told; null while it is not known. */
  Notice notice() {
    return ready() && outstanding == null ? new Notice(state, revision) : null;
  }

  /**
   * The level that every owner has to support: while a change is not settled, the higher one. If
   * the key is unreadable, the highest that this build knows.
   */
  FeatureLevel required() {
    if (unreadable || state == null) {
      return highest;
    }
    FeatureLevel level = state.level();
    boolean higher = outstanding != null && outstanding.level().compareTo(level) > 0;
    return higher ? outstanding.level() : level;
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
    } else if (outstanding != null) {
      settle();
    }
  }

  private void load() {
    busy = true;
    Revision term = leadership.term();
    environment.state(
        "GET",
        StoreMessages.key(RolloutMessages.KEY),
        null,
        (status, body) -> {
          busy = false;
          if (status != 200 && status != 404) {
            retryAt = environment.now().plus(RETRY_MS);
            return;
          }
          RolloutState found = RolloutState.INITIAL;
          Revision at = Revision.ABSENT;
          if (status == 200) {
            StoreMessages.Entry entry = StoreMessages.entry(body);
            found = RolloutMessages.readState(entry.value());
            at = entry.revision();
          }
          loaded(term, found, at);
        });
  }

  private void loaded(Revision term, RolloutState found, Revision at) {
    unreadable = found == null;
    if (unreadable) {
      environment.refused(
          "state.unreadable", "the value of " + RolloutMessages.KEY + " is unreadable, left alone");
    }
    if (outstanding != null && !term.equals(outstandingTerm)) {
      // Sent under an earlier term of this process: its guard refuses it.
      outstanding = null;
    }
    boolean moved = at.after(revision);
    if (outstanding != null && moved && !unreadable && !found.level().equals(state.level())) {
      // Our own change without an answer was carried out: nobody else leads.
      leadership.levelSwitched(found.level(), at);
      term = leadership.term();
    }
    if (outstanding != null && moved) {
      outstanding = null;
    }
    state = unreadable ? state : found;
    revision = at;
    loadedTerm = term;
  }

  /** Changes the key; {@link #idle} must hold. */
  void write(RolloutState next, OnWritten then) {
    outstanding = next;
    outstandingTerm = loadedTerm;
    send(
        next,
        result -> {
          if (result != Result.UNKNOWN) {
            outstanding = null;
          }
          then.written(result);
        });
  }

  /** Writes what is there once more: that settles whether the change before it was carried out. */
  private void settle() {
    send(
        state,
        result -> {
          if (result == Result.COMMITTED) {
            outstanding = null;
          }
        });
  }

  private void send(RolloutState next, OnWritten then) {
    busy = true;
    Revision term = loadedTerm;
    Transaction transaction = new Transaction();
    leadership.guard(transaction);
    transaction
        .guard(RolloutMessages.KEY, revision)
        .write(RolloutMessages.KEY, RolloutMessages.write(next));
    boolean switches = !next.level().equals(state.level());
    if (switches) {
      leadership.addLevelSwitch(transaction, next.level());
    }
    environment.state(
        "POST",
        StoreMessages.MULTI,
        transaction.body(),
        (status, body) -> {
          busy = false;
          if (!loadedTerm.equals(term)) {
            then.written(Result.UNKNOWN);
          } else if (status == 200) {
            committed(next, switches, new Revision(StoreMessages.revision(body)));
            then.written(Result.COMMITTED);
          } else if (status == 409) {
            // Somebody else leads, or a change of ours without an answer came first.
            loadedTerm = Revision.ABSENT;
            retryAt = environment.now().plus(RETRY_MS);
            then.written(Result.UNKNOWN);
          } else if (StoreMessages.notCarriedOut(status)) {
            retryAt = environment.now().plus(RETRY_MS);
            then.written(Result.REFUSED);
          } else {
            retryAt = environment.now().plus(RETRY_MS);
            then.written(Result.UNKNOWN);
          }
        });
  }

  private void committed(RolloutState next, boolean switches, Revision at) {
    revision = at;
    state = next;
    if (switches) {
      leadership.levelSwitched(next.level(), at);
      loadedTerm = leadership.term();
    }
  }
}
