package shorecrank.coordination.leader;

import java.util.List;
import shorecrank.protocol.HeartbeatMessages.Heartbeat;
import shorecrank.protocol.HeartbeatMessages.HeartbeatAnswer;
import shorecrank.protocol.HeartbeatMessages.Lease;
import shorecrank.protocol.HeartbeatMessages.OwnerInfo;
import shorecrank.protocol.Ids.MachineName;

/** Builds the leader's answers to the heartbeats of controllers. */
final class HeartbeatAnswerBuilder {
  private final Election election;
  private final ShardLeaseTable shards;
  private final ControllerTable controllers;
  private final MachineDirectory machines;
  private final MachineReleases releases;
  private final CloudProvisioner cloud;
  private final RolloutView rollout;

  HeartbeatAnswerBuilder(
      Election election,
      ShardLeaseTable shards,
      ControllerTable controllers,
      MachineDirectory machines,
      MachineReleases releases,
      CloudProvisioner cloud,
      RolloutView rollout) {
    this.election = election;
    this.shards = shards;
    this.controllers = controllers;
    this.machines = machines;
    this.releases = releases;
    this.cloud = cloud;
    this.rollout = rollout;
  }

  /**
   * Builds the answer to a heartbeat.
   *
   * @param leases the leases that the sender is granted
   */
  HeartbeatAnswer build(Heartbeat heartbeat, List<Lease> leases) {
    List<OwnerInfo> owners = shards.owners();
    MachineDirectory.Changes changes =
        machines.changesSince(heartbeat.assignmentVersion(), shards.isSingleShard());
    List<MachineName> released =
        changes.isComplete()
            ? releases.recentlyReleased()
            : changes.removed().stream().filter(releases::wasReleased).toList();
    return new HeartbeatAnswer(
        election.term().value(),
        controllers.isStoreReachableElsewhere(heartbeat.sender()),
        leases,
        owners,
        machines.version(),
        changes.isComplete(),
        changes.assigned(),
        changes.removed(),
        released,
        cloud.unavailableOffers(),
        rollout.notice());
  }
}
