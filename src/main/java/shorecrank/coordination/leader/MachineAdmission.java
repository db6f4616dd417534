package shorecrank.coordination.leader;

import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.HeartbeatMessages.MachineInfo;
import shorecrank.protocol.Ids.ShardId;

/** Assigns machines to shards that have just been rented, or that exist and are not known yet. */
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

  /** A machine was rented for a shard. */
  void admitRented(MachineInfo machine, ShardId shard) {
    if (!machines.contains(machine.name())) {
      assign(machine, shard);
    }
  }

  /**
   * A machine exists, as its own heartbeat or the cloud's list shows; does nothing if it is known,
   * or was returned.
   *
   * @param source the fields of the log line that say where it was found
   */
  void admitDiscovered(MachineInfo machine, String source) {
    if (machines.contains(machine.name())
        || releases.isReleasing(machine.name())
        // Although its release was answered: a held heartbeat, or a list that lags.
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
