package shorecrank.coordination.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.HeartbeatMessages.Heartbeat;
import shorecrank.protocol.HeartbeatMessages.Lease;
import shorecrank.protocol.HeartbeatMessages.ShardReport;
import shorecrank.protocol.HeartbeatMessages.WorkerReachability;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.FencingToken;
import shorecrank.protocol.Ids.ShardId;

/** Renews the leases of the shards that the sender of a heartbeat owns, or revokes them. */
final class LeaseRenewal {
  private final StepContext context;
  private final ShardLeaseTable shards;
  private final EpochAllocator epochs;
  private final OwnerFailureDetector failureDetector;
  private final RolloutView rollout;

  LeaseRenewal(
      StepContext context,
      ShardLeaseTable shards,
      EpochAllocator epochs,
      OwnerFailureDetector failureDetector,
      RolloutView rollout) {
    this.context = context;
    this.shards = shards;
    this.epochs = epochs;
    this.failureDetector = failureDetector;
    this.rollout = rollout;
  }

  /** The leases that the sender of a heartbeat gets. */
  List<Lease> renew(Heartbeat heartbeat, ControllerState sender) {
    List<Lease> leases = new ArrayList<>();
    for (Map.Entry<ShardId, ShardState> entry : shards.entries()) {
      ShardState shard = entry.getValue();
      if (shard.isOwnedBy(heartbeat.sender())
          && mayRenew(entry.getKey(), shard, heartbeat, sender)) {
        shard.renewLease(shards.latestLeaseEnd());
        leases.add(new Lease(entry.getKey(), shard.epoch(), context.settings().leaseMs()));
      }
    }
    return leases;
  }

  private boolean mayRenew(
      ShardId id, ShardState shard, Heartbeat heartbeat, ControllerState sender) {
    if (!heartbeat.writer().equals(shard.writer())) {
      // One label, one process: the one that held the lease has ended.
      context.info("shard.owner.restarted shard=%s owner=%s", id, shard.owner());
      shard.vacate();
      return false;
    }
    ShardReport report = reportOf(id, heartbeat);
    if (!shard.isRevoking()) {
      revokeIfIneligible(id, shard, heartbeat.sender(), sender);
    }
    if (shard.isRevoking()) {
      if (report == null) {
        // The owner has given the shard up.
        shard.vacate();
      }
      return false;
    }
    if (shard.isAllocatingForOther(heartbeat.writer())) {
      // Its lease has expired and a successor is being written down: a lease granted now would
      // still run when that is committed.
      return false;
    }
    return report == null || applyReport(id, shard, report);
  }

  /** The last report of a shard in a heartbeat; null if there is none. */
  private static ShardReport reportOf(ShardId id, Heartbeat heartbeat) {
    ShardReport found = null;
    for (ShardReport report : heartbeat.shards()) {
      if (report.shard().equals(id)) {
        found = report;
      }
    }
    return found;
  }

  private void revokeIfIneligible(
      ShardId id, ShardState shard, ControllerName owner, ControllerState sender) {
    if (failureDetector.lacksStateService(owner, sender)) {
      context.info("shard.revoked shard=%s owner=%s reason=state_service_lost", id, owner);
      shard.revoke();
    } else if (!rollout.mayOwn(owner)) {
      shard.revoke();
    }
  }

  /** Takes in what an owner reports of its shard; false if its lease is revoked for that. */
  private boolean applyReport(ShardId id, ShardState shard, ShardReport report) {
    raiseRefusedEpoch(id, shard, report);
    shard.updateHasQueuedTasks(report.hasQueuedTasks());
    WorkerReachability workers = report.reachability();
    if (!failureDetector.isUnreachableForWorkers(id, shard, workers)) {
      return true;
    }
    context.info(
        "shard.revoked shard=%s owner=%s reason=workers_unreached heard=%d expected=%d",
        id, shard.owner(), workers.expected() - workers.unheard(), workers.expected());
    context.count("part.unreached");
    shard.revokeUnreachable(workers.unreachableZones(), context.now());
    return false;
  }

  /** An owner that was refused for its epoch gets one above that by which it was refused. */
  private void raiseRefusedEpoch(ShardId id, ShardState shard, ShardReport report) {
    Epoch refusedBy = report.refusedEpoch();
    // Only the owner's own report, at its present epoch, raises the counter; and never so far that
    // few epochs would be left, as a damaged record could ask for.
    if (refusedBy.value() >= shard.epoch().value()
        && report.epoch().equals(shard.epoch())
        && refusedBy.value() < FencingToken.MAX_EPOCH / 2
        && !shard.isAllocating()) {
      context.info(
          "shard.epoch.refused shard=%s epoch=%s refused_by=%s", id, shard.epoch(), refusedBy);
      epochs.allocate(id, shard, shard.owner(), shard.writer(), refusedBy);
    }
  }
}
