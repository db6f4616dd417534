package shorecrank.coordination.leader;

import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.HeartbeatMessages.MachineInfo;
import shorecrank.protocol.Ids.ShardId;

/**
 * Assigns new machines to shards: those that were just rented, and those that exist but are
 * unknown.
 */
final class MachineAdmission {
  private final StepContext context;
  private final MachineDirectory machines;
  private final ShardLeaseTable shards;
  private final MachineReleases releases;
  private final MachineAssigner assigner;

  MachineAdmission(
      StepContext context,
      MachineDirectory machines,
      ShardLeaseTable shards,
      MachineReleases releases,
      MachineAssigner assigner) {
    this.context = context;
    this.machines = machines;
    this.shards = shards;
    this.releases = releases;
    this.assigner = assigner;
  }

  /** Assigns a machine to the shard for which it was rented. */
  void admitRented(MachineInfo machine, ShardId shard) {
    if (!machines.contains(machine.name())) {
      assign(machine, shard);
    }
  }

  /**
   * Assigns a machine that a heartbeat or the cloud's machine list shows; does nothing if the
   * machine is already assigned, being released or released.
   *
   * @param source log fields that say where the machine was found
   */
  void admitDiscovered(MachineInfo machine, String source) {
    if (machines.contains(machine.name())
        || releases.isReleasing(machine.name())
        // A released machine may still appear in a delayed heartbeat or an outdated machine list.
        || releases.wasReleased(machine.name())) {
      return;
    }
    context.info("machine.admitted machine=%s %s", machine.name(), source);
    assign(machine, assigner.shardForNewMachine());
  }

  private void assign(MachineInfo machine, ShardId shard) {
    machines.assign(machine, shard, shards.epoch(shard));
  }
}
