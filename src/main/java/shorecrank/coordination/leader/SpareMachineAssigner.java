package shorecrank.coordination.leader;

import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.HeartbeatMessages.MachineHandover;
import shorecrank.protocol.HeartbeatMessages.ShardReport;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Ids.ShardId;

/**
 * Moves machines that a shard doesn't use to a shard with queued tasks. Moves are kept in memory
 * only: a new leader starts without any, and ignores handovers for an earlier leader's moves.
 */
final class SpareMachineAssigner implements MachineAssigner {
  /**
   * The number of low bits of a move's id that count the moves within one term; the higher bits
   * hold the term.
   */
  private static final int MOVE_NUMBER_BITS = 20;

  /** A shard with queued tasks counts as having this many machines fewer than it has. */
  private static final int QUEUED_TASKS_NEED = 1000;

  private final StepContext context;
  private final MachineDirectory machines;
  private final ShardTable shards;
  private Revision term = Revision.ABSENT;
  private long moveNumber;

  SpareMachineAssigner(StepContext context, MachineDirectory machines, ShardTable shards) {
    this.context = context;
    this.machines = machines;
    this.shards = shards;
  }

  @Override
  public void beginTerm() {
    if (!machines.term().equals(term)) {
      term = machines.term();
      moveNumber = 0;
    }
  }

  @Override
  public boolean isReady() {
    return true;
  }

  @Override
  public void refresh() {}

  @Override
  public boolean isUnsettled() {
    return false;
  }

  @Override
  public void handleNewEpoch(ShardId shard) {}

  @Override
  public void tick() {}

  @Override
  public ShardId shardForNewMachine() {
    return neediest();
  }

  /**
   * Returns the shard with queued tasks that has the fewest machines; the one with the fewest
   * machines of all if no shard has queued tasks.
   */
  private ShardId neediest() {
    ShardId best = new ShardId(0);
    if (shards.shards().size() == 1) {
      return best;
    }
    long highestNeed = Long.MIN_VALUE;
    for (ShardId shard : shards.shards()) {
      long need = (shards.hasQueuedTasks(shard) ? QUEUED_TASKS_NEED : 0) - machines.count(shard);
      if (need > highestNeed) {
        highestNeed = need;
        best = shard;
      }
    }
    return best;
  }

  @Override
  public void handleReport(ShardReport report) {
    if (!report.echoesMoveIds()) {
      // An owner of an earlier version doesn't repeat the move's id, so its handover could be
      // premature or belong to a move that has ended. Its machines are therefore kept.
      clearMoves(report.shard());
      return;
    }
    for (MachineHandover handover : report.handovers()) {
      AssignedMachine machine = machines.get(handover.machine());
      boolean isForRequestedMove =
          machine != null
              && machine.isHandoverRequested()
              && machine.move().equals(handover.move());
      if (isForRequestedMove && machine.shard().equals(report.shard())) {
        handOver(machine, report.shard());
      }
    }
    for (MachineName name : report.misplaced()) {
      reclaim(name, report.shard());
    }
    if (!report.spareMachines().isEmpty() && hasQueuedTasksElsewhere(report.shard())) {
      AssignedMachine machine = machines.get(report.spareMachines().get(0));
      if (machine != null
          && machine.shard().equals(report.shard())
          && !machine.isHandoverRequested()) {
        machines.requestHandover(machine, nextMoveId());
      }
    }
  }

  private void clearMoves(ShardId shard) {
    for (AssignedMachine machine : machines.all()) {
      if (machine.isHandoverRequested() && machine.shard().equals(shard)) {
        machines.clearMove(machine);
      }
    }
  }

  /**
   * Moves a machine back to a shard whose records name it, since that shard's tasks may run on it.
   */
  private void reclaim(MachineName name, ShardId shard) {
    AssignedMachine machine = machines.get(name);
    boolean isAlreadyReclaimed =
        machine != null && machine.isHandoverRequested() && shard.equals(machine.reclaimedBy());
    if (machine == null || machine.shard().equals(shard) || isAlreadyReclaimed) {
      return;
    }
    context.info(
        "machine.reclaimed machine=%s shard=%s assigned_to=%s", name, shard, machine.shard());
    context.count("machine.reclaimed");
    machine.reclaimFor(shard);
    if (!machine.isHandoverRequested()) {
      machines.requestHandover(machine, nextMoveId());
    }
  }

  private MoveId nextMoveId() {
    return new MoveId((term.value() << MOVE_NUMBER_BITS) + ++moveNumber);
  }

  private boolean hasQueuedTasksElsewhere(ShardId except) {
    return shards.shards().stream()
        .anyMatch(shard -> !shard.equals(except) && shards.hasQueuedTasks(shard));
  }

  /** Assigns a drained machine to another shard, under an epoch above the machine's last one. */
  private void handOver(AssignedMachine machine, ShardId from) {
    ShardId to = machine.reclaimedBy() != null ? machine.reclaimedBy() : neediest();
    if (to.equals(from)) {
      machines.clearMove(machine);
      return;
    }
    Epoch last = Epoch.higher(machine.epoch(), shards.epoch(from));
    if (!shards.epoch(to).isAbove(last)) {
      shards.raiseEpochAbove(to, last);
      return;
    }
    // No owner is told of the machine until its new assignment is stored.
    machines.remove(machine.name());
    machines.assign(machine.info(), to, shards.epoch(to));
  }
}
