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

/** Renews or revokes the leases of the shards that the sender of a heartbeat owns. */
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

  /** Returns the leases that the sender of a heartbeat is granted. */
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
      // Another process of the same controller sent the heartbeat. A controller runs one process at
      // a time, so the process that held the lease has ended.
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
        // A revoked owner leaves a shard out of its heartbeats once it no longer serves it.
        shard.vacate();
      }
      return false;
    }
    if (shard.isAllocatingForOther(heartbeat.writer())) {
      // The lease has expired and a successor is being stored: a lease that is renewed now would
      // still run when the successor's epoch is committed.
      return false;
    }
    return report == null || applyReport(id, shard, report);
  }

  /** Returns the last report of a shard in a heartbeat; null if there is none. */
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

  /**
   * Applies an owner's report of its shard.
   *
   * @return false if the report causes the lease to be revoked
   */
  private boolean applyReport(ShardId id, ShardState shard, ShardReport report) {
    raiseRefusedEpoch(id, shard, report);
    shard.updateHasQueuedTasks(report.hasQueuedTasks());
    WorkerReachability workers = report.reachability();
    if (!failureDetector.isUnreachableForWorkers(id, shard, workers)) {
      return true;
    }
    context.info(
        "shard.revoked shard=%s owner=%s reason=workers_unreached heard=%d expected=%d misrouted=%d",
        id,
        shard.owner(),
        workers.expected() - workers.overdue(),
        workers.expected(),
        failureDetector.workersReachingOthers(id, shard.owner()));
    context.count("part.unreached");
    shard.revokeUnreachable(workers.unreachableZones(), context.now());
    return false;
  }

  /** Allocates a higher epoch for an owner that was refused because a record has a higher epoch. */
  private void raiseRefusedEpoch(ShardId id, ShardState shard, ShardReport report) {
    Epoch refusedBy = report.refusedEpoch();
    // Only a report of the owner at its present epoch raises the counter. A refused epoch in the
    // upper half of the range is ignored: it may come from a damaged record, and would use up the
    // epochs.
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
