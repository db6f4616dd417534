package shorecrank.rebalance;

import shorecrank.leadership.LeaderEnvironment;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.ShareStateMessages.Move;
import shorecrank.protocol.ShareStateMessages.MovePhase;
import shorecrank.protocol.ShareStateMessages.SharesState;
import shorecrank.protocol.StoreMessages.Transaction;
import shorecrank.rebalance.FleetAssignments.Handover;
import shorecrank.storage.CommitResult;

/**
 * Writes changes of moves down, together with the assignments that they change, and follows up what
 * became of them.
 */
final class MoveCommitter {
  /** Told whether a change was committed; called once. */
  @FunctionalInterface
  interface CommitListener {
    /** The change was committed, or else refused or without a known outcome. */
    void finished(boolean isCommitted);
  }

  private static final Runnable NOTHING_TO_LOG = () -> {};

  private final LeaderEnvironment environment;
  private final SharesStore store;
  private final FleetAssignments fleet;
  private final OwnerReports reports;
  private final OwnerInstructions instructions;
  private final MoveTimes times;

  /** Assignments in a transaction that is under way or in doubt; null if there are none. */
  private Handover pendingHandover;

  /** Logs the change that is under way or in doubt, once it is known to be carried out. */
  private Runnable pendingLog = NOTHING_TO_LOG;

  MoveCommitter(
      LeaderEnvironment environment,
      SharesStore store,
      FleetAssignments fleet,
      OwnerReports reports,
      OwnerInstructions instructions,
      MoveTimes times) {
    this.environment = environment;
    this.store = store;
    this.fleet = fleet;
    this.reports = reports;
    this.instructions = instructions;
    this.times = times;
  }

  /** Whether an assignment may still be written that is not known here. */
  boolean isInDoubt() {
    return pendingHandover != null || store.isInDoubt();
  }

  /** Assignments were read anew, so none is in doubt. */
  void reset() {
    pendingHandover = null;
  }

  /** Writes a change that assigns no machine. */
  void write(SharesState next, CommitListener then) {
    write(next, null, then);
  }

  /**
   * Writes a change; the store must be idle.
   *
   * @param handover the assignments that change with it; null if none do
   */
  void write(SharesState next, Handover handover, CommitListener then) {
    int operations = 1 + (handover == null ? 0 : handover.operations());
    if (!environment.tryTakeWrites(operations)) {
      handleRefusal(handover, false);
      then.finished(false);
      return;
    }
    pendingHandover = handover;
    SharesState before = store.state();
    pendingLog = () -> logChanges(before, next);
    store.write(
        next,
        transaction -> addHandover(transaction, handover),
        result -> {
          if (result instanceof CommitResult.Committed done) {
            handleCommit(before, next, handover, done.revision());
          } else if (!result.isUnknown()) {
            handleRefusal(handover, result instanceof CommitResult.Conflict);
            pendingHandover = null;
            pendingLog = NOTHING_TO_LOG;
          }
          // One of unknown outcome is settled later; until then no assignment is written.
          then.finished(result.isCommitted());
        });
  }

  private static void addHandover(Transaction transaction, Handover handover) {
    if (handover != null) {
      handover.addTo(transaction);
    }
  }

  /** A change of unknown outcome turned out to be carried out or not. */
  void outcomeResolved(boolean isCarriedOut) {
    Handover settled = pendingHandover;
    pendingHandover = null;
    if (isCarriedOut) {
      writePendingLog();
      fleet.reload();
    } else {
      handleRefusal(settled, false);
      pendingLog = NOTHING_TO_LOG;
    }
  }

  /**
   * Machines stay where they were. Their owners were told meanwhile that they have none of them, so
   * they are asked anew whether anything is left on them.
   */
  private void handleRefusal(Handover handover, boolean isConflict) {
    if (handover == null) {
      return;
    }
    handover.refused(isConflict);
    for (MachineName machine : handover.machines()) {
      Move move = store.state().activeMoveOf(machine);
      if (move != null) {
        reports.revokeRelease(move);
      }
    }
  }

  private void handleCommit(
      SharesState before, SharesState after, Handover handover, Revision revision) {
    if (handover != null) {
      handover.committed(revision);
    }
    pendingHandover = null;
    writePendingLog();
    for (Move move : after.ended()) {
      if (!before.ended().contains(move)) {
        times.recordEnd(move);
        reports.forget(move);
      }
    }
    instructions.synchronize();
  }

  private void writePendingLog() {
    pendingLog.run();
    pendingLog = NOTHING_TO_LOG;
  }

  private void logChanges(SharesState before, SharesState after) {
    for (Move move : after.active()) {
      if (!before.active().contains(move)) {
        environment.info(
            "move.%s id=%s machine=%s from=%s to=%s order=%s",
            move.phase().wireName(),
            move.id(),
            move.machine(),
            move.from(),
            move.to(),
            move.order());
      }
    }
    for (Move move : after.ended()) {
      if (move.phase() == MovePhase.ABORTED && !before.ended().contains(move)) {
        logAborted(move);
      }
    }
  }

  private void logAborted(Move move) {
    environment.info(
        "move.aborted id=%s machine=%s from=%s to=%s reason=\"%s\"",
        move.id(), move.machine(), move.from(), move.to(), move.reason());
    environment.count("shares.moves.aborted", 1);
  }
}
