package shorecrank.rebalance;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import shorecrank.leadership.LeaderEnvironment;
import shorecrank.protocol.HeartbeatMessages.MachineHandover;
import shorecrank.protocol.HeartbeatMessages.ShardReport;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.ShardDemandMessages.DrainCandidate;
import shorecrank.protocol.ShardDemandMessages.DrainProgress;
import shorecrank.protocol.ShardDemandMessages.ShardDemand;
import shorecrank.protocol.ShareStateMessages.Move;
import shorecrank.protocol.ShareStateMessages.SharesState;

/**
 * Keeps what shard owners last reported: their demand, the progress of moves, and misplaced
 * machines.
 */
final class OwnerReports {
  /** The age up to which a report counts as a shard's present demand. */
  private static final long MAX_DEMAND_AGE_MS = 4000;

  /**
   * An owner's last report.
   *
   * @param demand null if the report has none
   * @param supportsMoves whether the owner runs a version that supports moves
   * @param draining the progress of each move that takes a machine from the shard
   */
  private record Report(
      ShardDemand demand,
      boolean supportsMoves,
      Map<MoveId, DrainProgress> draining,
      MonotonicTime receivedAt) {}

  private final LeaderEnvironment environment;
  private final Map<ShardId, Report> reports = new HashMap<>();

  /**
   * The moves whose machine the present owner has reported as drained and ready to be handed over.
   */
  private final Set<MoveId> released = new HashSet<>();

  /** The moves whose machine sends heartbeats to its new owner. */
  private final Set<MoveId> arrived = new HashSet<>();

  /** The machines that may run tasks of a shard to which they are not assigned, with that shard. */
  private final Map<MachineName, ShardId> misplaced = new TreeMap<>();

  OwnerReports(LeaderEnvironment environment) {
    this.environment = environment;
  }

  /** Removes all reports. */
  void clear() {
    reports.clear();
    released.clear();
    arrived.clear();
    misplaced.clear();
  }

  /** Handles a report that a shard's owner has sent under the shard's present epoch. */
  void handleReport(ShardReport report, SharesState state) {
    Map<MoveId, DrainProgress> draining = new HashMap<>();
    ShardDemand demand = report.demand();
    if (demand != null) {
      demand.draining().forEach(progress -> draining.put(progress.move(), progress));
      arrived.addAll(demand.arrived());
    }
    reports.put(
        report.shard(), new Report(demand, report.echoesMoveIds(), draining, environment.now()));
    for (MachineHandover handover : report.handovers()) {
      Move move = state.activeMoveOf(handover.machine());
      if (move != null && move.id().equals(handover.move()) && move.from().equals(report.shard())) {
        released.add(move.id());
      }
    }
    report.misplaced().forEach(machine -> misplaced.put(machine, report.shard()));
  }

  /**
   * Removes the report and the released machines of a shard's owner, because the shard has a new
   * owner or a new epoch. Under the new epoch the owner was told that released machines are still
   * assigned to it, so it has to release them again.
   */
  void onOwnerChanged(ShardId shard, SharesState state) {
    reports.remove(shard);
    for (Move move : state.active()) {
      if (move.from().equals(shard)) {
        released.remove(move.id());
      }
    }
  }

  /** Returns the demand in a shard's last report; empty if the report is too old or has none. */
  Optional<ShardDemand> freshDemand(ShardId shard) {
    Report report = reports.get(shard);
    boolean isFresh =
        report != null && environment.now().since(report.receivedAt) <= MAX_DEMAND_AGE_MS;
    return isFresh ? Optional.ofNullable(report.demand) : Optional.empty();
  }

  /** Returns the demand in a shard's last report, whatever its age; empty if there is none. */
  Optional<ShardDemand> lastDemand(ShardId shard) {
    return Optional.ofNullable(reports.get(shard)).map(Report::demand);
  }

  /** Returns the machines that a shard could give up, the one that is empty soonest first. */
  List<MachineName> candidates(ShardId shard) {
    return freshDemand(shard)
        .map(demand -> demand.candidates().stream().map(DrainCandidate::machine).toList())
        .orElse(List.of());
  }

  /** Returns the drain progress that the present owner reported last; null if there is none. */
  DrainProgress progress(Move move) {
    Report owner = reports.get(move.from());
    return owner == null ? null : owner.draining.get(move.id());
  }

  /**
   * Returns false if the present owner's last report is of a version that doesn't support moves.
   */
  boolean ownerSupportsMoves(Move move) {
    Report owner = reports.get(move.from());
    return owner == null || owner.supportsMoves;
  }

  /**
   * Reports whether the present owner has released the move's machine: it has reported that no task
   * or record is left on the machine.
   */
  boolean isReleased(Move move) {
    return released.contains(move.id());
  }

  /** Reports whether the new owner has reported that it receives the machine's heartbeats. */
  boolean isArrived(Move move) {
    return arrived.contains(move.id());
  }

  /**
   * Revokes the release of a move's machine, which is not handed over until it is released again.
   */
  void revokeRelease(Move move) {
    released.remove(move.id());
  }

  /** Removes what was reported about a move that has ended. */
  void remove(Move move) {
    released.remove(move.id());
    arrived.remove(move.id());
  }

  /**
   * Returns and removes the machines that were reported as misplaced since the last call, each with
   * the shard whose tasks it may run.
   */
  Map<MachineName, ShardId> pollMisplaced() {
    Map<MachineName, ShardId> polled = new TreeMap<>(misplaced);
    misplaced.clear();
    return polled;
  }
}
