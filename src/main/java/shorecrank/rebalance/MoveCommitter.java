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
 * Writes changed moves to the shares' key, in one transaction with the machine assignments that
 * they change, and updates the other parts of this package once the outcome is known.
 */
final class MoveCommitter {
  /** Receives the result of one write. */
  @FunctionalInterface
  interface CommitListener {
    /**
     * Called once for each write.
     *
     * @param isCommitted false if the change was refused or its outcome is not known yet
     */
    void onFinished(boolean isCommitted);
  }

  private static final Runnable NOTHING_TO_LOG = () -> {};

  private final LeaderEnvironment environment;
  private final SharesStore store;
  private final FleetAssignments fleet;
  private final OwnerReports reports;
  private final OwnerInstructions instructions;
  private final MoveTimes times;

  /** The assignments in a transaction that is under way or in doubt; null if there are none. */
  private Handover pendingHandover;

  /**
   * Logs the change that is under way or in doubt; run once the change is known to be committed.
   */
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

  /** Reports whether a write whose outcome is not known may still be committed. */
  boolean isInDoubt() {
    return pendingHandover != null || store.isInDoubt();
  }

  /**
   * Discards the assignments of a write whose outcome is unknown, after all assignments have been
   * read again.
   */
  void reset() {
    pendingHandover = null;
  }

  /** Writes a change that assigns no machine; {@link SharesStore#isIdle} must be true. */
  void write(SharesState next, CommitListener listener) {
    write(next, null, listener);
  }

  /**
   * Writes a change; {@link SharesStore#isIdle} must be true.
   *
   * @param handover the assignments that are written in the same transaction; null if there are
   *     none
   */
  void write(SharesState next, Handover handover, CommitListener listener) {
    int operations = 1 + (handover == null ? 0 : handover.operations());
    if (!environment.tryTakeWrites(operations)) {
      handleRefusal(handover, false);
      listener.onFinished(false);
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
          // If the outcome is unknown, onOutcomeResolved is called later. Until then, isInDoubt
          // keeps all other assignments from being written.
          listener.onFinished(result.isCommitted());
        });
  }

  private static void addHandover(Transaction transaction, Handover handover) {
    if (handover != null) {
      handover.addTo(transaction);
    }
  }

  /** Completes a write whose outcome was unknown until now. */
  void onOutcomeResolved(boolean isCommitted) {
    Handover handover = pendingHandover;
    pendingHandover = null;
    if (isCommitted) {
      writePendingLog();
      fleet.reload();
    } else {
      handleRefusal(handover, false);
      pendingLog = NOTHING_TO_LOG;
    }
  }

  /**
   * Leaves the machines of a refused handover with their shards. While the write was under way, the
   * shards' owners were told that the machines are not assigned to them, so their earlier reports
   * that the machines are drained no longer count: each owner has to report its machine again.
   */
  private void handleRefusal(Handover handover, boolean isConflict) {
    if (handover == null) {
      return;
    }
    handover.onRefused(isConflict);
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
      handover.onCommitted(revision);
    }
    pendingHandover = null;
    writePendingLog();
    for (Move move : after.ended()) {
      if (!before.ended().contains(move)) {
        times.recordEnd(move);
        reports.remove(move);
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
