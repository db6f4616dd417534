package shorecrank.coordination;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import shorecrank.coordination.model.CancellationLog;
import shorecrank.coordination.shard.ShardOwner;
import shorecrank.coordination.step.Input;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.HeartbeatMessages.HeartbeatAnswer;
import shorecrank.protocol.HeartbeatMessages.Lease;
import shorecrank.protocol.HeartbeatMessages.OwnerInfo;
import shorecrank.protocol.HeartbeatMessages.ShardReport;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.rollout.FeatureGate;

/** The shards that this process owns: gained by leases, given up, kept in step with the leader. */
final class OwnedShards {
  /** A lease is counted shorter by one part in so many, for clocks that drift apart. */
  private static final int LEASE_DRIFT_DIVISOR = 500;

  /** A lease is counted shorter by this, for timers that fire late. */
  private static final int LEASE_MARGIN_MS = 20;

  private final StepContext context;
  private final CancellationLog cancellations;
  private final FeatureGate gate;
  private final MachineAssignments assignments;
  private final boolean isSharesEnabled;
  private final Map<ShardId, ShardOwner> shardOwners = new TreeMap<>();

  /** Shards granted under an epoch that is used up, which is to be reported. */
  private final Map<ShardId, Epoch> refusedEpochs = new TreeMap<>();

  /** The highest epoch under which this process has given a shard up. */
  private final Map<ShardId, Epoch> usedEpochs = new TreeMap<>();

  private Map<String, MachineType> machineTypes = Map.of();

  /**
   * Creates the set without a shard.
   *
   * @param isSharesEnabled whether shard owners report what they need for shares
   */
  OwnedShards(
      StepContext context,
      CancellationLog cancellations,
      FeatureGate gate,
      MachineAssignments assignments,
      boolean isSharesEnabled) {
    this.context = context;
    this.cancellations = cancellations;
    this.gate = gate;
    this.assignments = assignments;
    this.isSharesEnabled = isSharesEnabled;
  }

  /** The owner of the shard in this process; null if it is not owned here. */
  ShardOwner find(ShardId shard) {
    return shardOwners.get(shard);
  }

  /** Advances every shard owner by one round. */
  void tick(Input.RoundBudget budget) {
    for (ShardOwner shardOwner : shardOwners.values()) {
      shardOwner.runRound(budget);
    }
  }

  /**
   * Up to when the state service has shown cancellations to the shard owner that knows the least;
   * NEVER if no owner has read the store.
   */
  MonotonicTime oldestCancellationView() {
    MonotonicTime oldest = MonotonicTime.NEVER;
    for (ShardOwner shardOwner : shardOwners.values()) {
      MonotonicTime seen = shardOwner.cancellationsKnownUpTo();
      if (oldest == MonotonicTime.NEVER || (seen != MonotonicTime.NEVER && seen.isBefore(oldest))) {
        oldest = seen;
      }
    }
    return oldest;
  }

  /** A user has been told that the job is cancelled. */
  void learnCancelled(JobId job) {
    shardOwners.values().forEach(shardOwner -> shardOwner.learnCancelled(job));
  }

  /** The types of machines that can be rented have been read. */
  void updateCatalog(Map<String, MachineType> types) {
    machineTypes = types;
    shardOwners.values().forEach(shardOwner -> shardOwner.updateCatalog(types));
  }

  // ---- gained and given up -----------------------------------------------------------------

  /** Gives the shard up if another controller owns it at a higher epoch. */
  void releaseIfSuperseded(OwnerInfo owner) {
    ShardOwner shardOwner = shardOwners.get(owner.shard());
    if (shardOwner != null
        && owner.epoch().isAbove(shardOwner.epoch())
        && !owner.controller().equals(context.config().label())) {
      endOwnership(owner.shard(), "owner is " + owner.controller() + " at epoch " + owner.epoch());
    }
  }

  private void endOwnership(ShardId shard, String reason) {
    ShardOwner shardOwner = shardOwners.remove(shard);
    usedEpochs.merge(
        shard, shardOwner.epoch(), (known, epoch) -> known.isAbove(epoch) ? known : epoch);
    shardOwner.endOwnership(reason);
  }

  /**
   * Relinquishes shards that the leader neither renews nor gives to another: they are being taken
   * back. The next heartbeat, without the shard, tells the leader that it is free.
   *
   * @return whether any was relinquished now
   */
  boolean relinquishUnrenewed(List<Lease> leases) {
    boolean isAnyRelinquished = false;
    for (Map.Entry<ShardId, ShardOwner> owned : shardOwners.entrySet()) {
      if (!isRenewed(owned.getKey(), leases)
          && owned.getValue().relinquish("not renewed by the leader")) {
        isAnyRelinquished = true;
      }
    }
    return isAnyRelinquished;
  }

  private static boolean isRenewed(ShardId shard, List<Lease> leases) {
    for (Lease lease : leases) {
      if (lease.shard().equals(shard)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Takes a lease, and the shard with it.
   *
   * @param requestedAt when the heartbeat was sent that the lease answers
   * @return false if the shard is not taken, since the lease's epoch is used up
   */
  boolean accept(Lease lease, MonotonicTime requestedAt) {
    // Counted from before the request was sent, so that no delay can lengthen it.
    MonotonicTime until =
        requestedAt.plus(lease.ttlMs() - lease.ttlMs() / LEASE_DRIFT_DIVISOR - LEASE_MARGIN_MS);
    ShardOwner shardOwner = shardOwners.get(lease.shard());
    if (shardOwner != null
        && lease.epoch().isAbove(shardOwner.epoch())
        && !shardOwner.isLeaseValid()) {
      // Since the lease expired another may have owned the shard: what is in memory may be wrong.
      endOwnership(lease.shard(), "its lease expired before epoch " + lease.epoch());
      shardOwner = null;
    }
    if (shardOwner == null && isUsedUp(lease)) {
      refusedEpochs.put(lease.shard(), lease.epoch());
      return false;
    }
    refusedEpochs.remove(lease.shard());
    if (shardOwner == null) {
      shardOwner = takeOver(lease);
    }
    shardOwner.renewLease(lease.epoch(), until);
    return true;
  }

  /**
   * A shard given up under an epoch is not taken again under it: workers have shown that epoch and
   * have been given numbers under it, so that late heartbeats could not be told from new ones, nor
   * would the answers be taken. Reported like a refused epoch, it makes the leader allocation above
   * it.
   */
  private boolean isUsedUp(Lease lease) {
    Epoch last = usedEpochs.get(lease.shard());
    return last != null && !lease.epoch().isAbove(last);
  }

  private ShardOwner takeOver(Lease lease) {
    ShardOwner shardOwner =
        new ShardOwner(
            context,
            cancellations,
            gate,
            lease.shard(),
            lease.epoch(),
            context.now(),
            isSharesEnabled);
    shardOwner.updateCatalog(machineTypes);
    shardOwner.machines().updateAllAssignments(assignments.all());
    shardOwner.recover();
    shardOwners.put(lease.shard(), shardOwner);
    return shardOwner;
  }

  // ---- exchange with the leader ------------------------------------------------------------

  /** What the leader is told: the shards served here, and those refused. */
  List<ShardReport> report() {
    List<ShardReport> reports = new ArrayList<>();
    for (ShardOwner shardOwner : shardOwners.values()) {
      if (!shardOwner.isRelinquished()) {
        reports.add(shardOwner.report());
      }
    }
    refusedEpochs.forEach((shard, epoch) -> reports.add(ShardReport.refused(shard, epoch)));
    return reports;
  }

  /** Tells the shard owners what the leader says of machines and of offers. */
  void updateMachines(HeartbeatAnswer answer) {
    for (ShardOwner shardOwner : shardOwners.values()) {
      if (answer.isComplete()) {
        shardOwner.machines().updateAllAssignments(assignments.all());
      } else {
        answer.assigned().forEach(shardOwner.machines()::updateAssignment);
        answer.unassigned().forEach(shardOwner.machines()::removeAssignment);
      }
      shardOwner.machines().removeReleased(answer.released());
      shardOwner.autoscaler().updateUnavailableOffers(answer.offersWithoutCapacity());
    }
  }

  /** Whether any shard here needs more machines. */
  boolean hasCapacityRequests() {
    for (ShardOwner shardOwner : shardOwners.values()) {
      if (!shardOwner.autoscaler().capacityRequests().isEmpty()) {
        return true;
      }
    }
    return false;
  }

  /** The number of shards that are served here. */
  int countServed() {
    int served = 0;
    for (ShardOwner shardOwner : shardOwners.values()) {
      if (!shardOwner.isRelinquished()) {
        served++;
      }
    }
    return served;
  }

  // ---- for observers -----------------------------------------------------------------------

  /** The epochs of the shards owned here. */
  Map<ShardId, Epoch> epochs() {
    Map<ShardId, Epoch> epochs = new TreeMap<>();
    shardOwners.forEach((shard, shardOwner) -> epochs.put(shard, shardOwner.epoch()));
    return epochs;
  }

  /** The epochs of the shards whose workers this process may command at a moment. */
  Map<ShardId, Epoch> commandedEpochs(MonotonicTime at) {
    Map<ShardId, Epoch> epochs = new TreeMap<>();
    shardOwners.forEach(
        (shard, shardOwner) -> {
          if (shardOwner.isLeaseValidAt(at)) {
            epochs.put(shard, shardOwner.epoch());
          }
        });
    return epochs;
  }

  /** The machines that this process may command at a moment. */
  Set<MachineName> commandedMachines(MonotonicTime at) {
    Set<MachineName> machines = new HashSet<>();
    for (ShardOwner shardOwner : shardOwners.values()) {
      if (shardOwner.isLeaseValidAt(at)) {
        machines.addAll(shardOwner.machines().commandableMachines());
      }
    }
    return machines;
  }
}
