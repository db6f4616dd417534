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

/** The last reports of shards' owners on demand, on machines that move, and on misplaced ones. */
final class OwnerReports {
  /** A report older than this says nothing of a shard's demand any more. */
  private static final long MAX_DEMAND_AGE_MS = 4000;

  /** An owner's last report; {@code demand} is null if it names none. */
  private record Report(
      ShardDemand demand,
      boolean supportsMoves,
      Map<MoveId, DrainProgress> draining,
      MonotonicTime receivedAt) {}

  private final LeaderEnvironment environment;
  private final Map<ShardId, Report> reports = new HashMap<>();

  /** Moves whose machine its owner has drained and released. */
  private final Set<MoveId> released = new HashSet<>();

  /** Moves whose machine its new owner hears. */
  private final Set<MoveId> arrived = new HashSet<>();

  /** Machines on which tasks of a shard may run that they are not assigned to. */
  private final Map<MachineName, ShardId> misplaced = new TreeMap<>();

  OwnerReports(LeaderEnvironment environment) {
    this.environment = environment;
  }

  /** Forgets everything. */
  void clear() {
    reports.clear();
    released.clear();
    arrived.clear();
    misplaced.clear();
  }

  /** Takes a report that came under the shard's epoch. */
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
   * A shard has a new owner, or its owner a new epoch. Machines that were released before have to
   * be released again: the new owner was told that they are still its own.
   */
  void ownerChanged(ShardId shard, SharesState state) {
    reports.remove(shard);
    for (Move move : state.active()) {
      if (move.from().equals(shard)) {
        released.remove(move.id());
      }
    }
  }

  /** The demand that a shard's owner has reported lately. */
  Optional<ShardDemand> freshDemand(ShardId shard) {
    Report report = reports.get(shard);
    boolean isFresh =
        report != null && environment.now().since(report.receivedAt) <= MAX_DEMAND_AGE_MS;
    return isFresh ? Optional.ofNullable(report.demand) : Optional.empty();
  }

  /** The demand that a shard's owner has reported last, however long ago. */
  Optional<ShardDemand> lastDemand(ShardId shard) {
    return Optional.ofNullable(reports.get(shard)).map(Report::demand);
  }

  /** The machines that a shard's owner would give up, the first one first. */
  List<MachineName> candidates(ShardId shard) {
    return freshDemand(shard)
        .map(demand -> demand.candidates().stream().map(DrainCandidate::machine).toList())
        .orElse(List.of());
  }

  /** What the owner says of the machine's drain; null if it has said nothing. */
  DrainProgress progress(Move move) {
    Report owner = reports.get(move.from());
    return owner == null ? null : owner.draining.get(move.id());
  }

  /** False if the last report of the machine's owner is of a version that knows no moves. */
  boolean ownerSupportsMoves(Move move) {
    Report owner = reports.get(move.from());
    return owner == null || owner.supportsMoves;
  }

  /** Whether the owner has said, under this move, that no task or record is left on the machine. */
  boolean isReleased(Move move) {
    return released.contains(move.id());
  }

  /** Whether the new owner has said that it hears the machine. */
  boolean isArrived(Move move) {
    return arrived.contains(move.id());
  }

  /** The machine stays where it is, and has to be released again before it can be handed over. */
  void revokeRelease(Move move) {
    released.remove(move.id());
  }

  /** Forgets a move that is over. */
  void forget(Move move) {
    released.remove(move.id());
    arrived.remove(move.id());
  }

  /** Machines reported as misplaced since the last call, with the shard whose tasks they run. */
  Map<MachineName, ShardId> pollMisplaced() {
    Map<MachineName, ShardId> taken = new TreeMap<>(misplaced);
    misplaced.clear();
    return taken;
  }
}
