package shorecrank.rebalance;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import shorecrank.leadership.LeaderEnvironment;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.ShareStateMessages.Move;
import shorecrank.protocol.ShareStateMessages.MovePhase;
import shorecrank.protocol.ShareStateMessages.SharesState;
import shorecrank.rebalance.FleetAssignments.FleetMachine;
import shorecrank.rebalance.FleetAssignments.Handover;
import shorecrank.rebalance.MoveRules.Observation;
import shorecrank.rebalance.MoveRules.Step;

/**
 * Takes moves that are under way to their next phase: records that the machine is being drained,
 * hands the machine over once its owner has reported it as drained, ends the move once the new
 * owner receives the machine's heartbeats, or aborts the move.
 */
final class MoveStepper {
  private final LeaderEnvironment environment;
  private final SharesStore store;
  private final FleetAssignments fleet;
  private final OwnerReports reports;
  private final MoveCommitter committer;
  private final MoveTimes times;
  private final double timeoutS;

  /**
   * Creates the stepper of one coordinator.
   *
   * @param timeoutS the age, in seconds, at which a move is aborted if its machine has not been
   *     handed over
   */
  MoveStepper(
      LeaderEnvironment environment,
      SharesStore store,
      FleetAssignments fleet,
      OwnerReports reports,
      MoveCommitter committer,
      MoveTimes times,
      double timeoutS) {
    this.environment = environment;
    this.store = store;
    this.fleet = fleet;
    this.reports = reports;
    this.committer = committer;
    this.times = times;
    this.timeoutS = timeoutS;
  }

  /** Writes the next steps of all moves, in one transaction; returns false if there are none. */
  boolean takeSteps() {
    SharesState current = store.state();
    SharesState next = current;
    Map<MachineName, ShardId> assignments = new LinkedHashMap<>();
    List<Move> released = new ArrayList<>();
    for (Move move : current.active()) {
      Step step = MoveRules.next(move, observe(move), timeoutS);
      switch (step.action()) {
        case STAY -> {}
        case RECORD_DRAINING -> next = withMove(next, move.withPhase(MovePhase.DRAINING));
        case HAND_OVER -> {
          if (hasNewerEpoch(move)) {
            assignments.put(move.machine(), move.to());
            released.add(move);
          }
        }
        case FINISH -> next = withMove(next, move.withPhase(MovePhase.DONE));
        case ABORT -> next = withMove(next, move.aborted(step.reason().text()));
      }
    }
    Handover handover = prepareHandover(assignments);
    if (handover != null) {
      for (Move move : released) {
        if (handover.machines().contains(move.machine())) {
          next = withMove(next, move.withPhase(MovePhase.HANDED_OVER));
        }
      }
    }
    if (next == current) {
      return false;
    }
    committer.write(next, handover, isCommitted -> {});
    return true;
  }

  private static SharesState withMove(SharesState state, Move move) {
    return state.withUpdatedMove(move, MoveCapacity.MAX_ENDED_MOVES);
  }

  /** Prepares the assignments; returns null if there are none or they can't be written now. */
  private Handover prepareHandover(Map<MachineName, ShardId> assignments) {
    boolean isAffordable = environment.hasWriteBudget(1 + assignments.size());
    return assignments.isEmpty() || !isAffordable ? null : fleet.prepareHandover(assignments);
  }

  private Observation observe(Move move) {
    FleetMachine machine = fleet.machine(move.machine());
    return new Observation(
        machine == null ? null : machine.shard(),
        machine == null ? Epoch.NONE : machine.epoch(),
        reports.progress(move),
        reports.ownerSupportsMoves(move),
        reports.isReleased(move),
        reports.isArrived(move),
        times.ageS(move));
  }

  /**
   * Reports whether the target shard has an owner whose epoch is above every epoch that the
   * machine's worker may have seen. Under a lower epoch, the worker would reject the new owner's
   * commands as older than those of the present owner. If necessary, requests a higher epoch.
   */
  private boolean hasNewerEpoch(Move move) {
    FleetMachine machine = fleet.machine(move.machine());
    Epoch last = fleet.epoch(move.from());
    Epoch lowerBound = machine == null ? last : Epoch.higher(machine.epoch(), last);
    if (fleet.owner(move.to()).isEmpty()) {
      return false;
    }
    if (!fleet.epoch(move.to()).isAbove(lowerBound)) {
      fleet.raiseEpochAbove(move.to(), lowerBound);
      return false;
    }
    return true;
  }
}
