package shorecrank.coordination;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import shorecrank.coordination.model.CancellationLog;
import shorecrank.coordination.shard.ReleasedMachines;
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

/**
 * The shards that this process owns. Ownership begins with a lease from the leader. It ends when
 * another controller owns the shard at a higher epoch, or when the lease has expired and the leader
 * grants the shard to this process again at a higher epoch, which begins a new ownership.
 */
final class OwnedShards {
  /**
   * The owner stops using a lease early, by the lease's duration divided by this number. Its clock
   * may run slower than the leader's, and the leader may grant the shard to another controller once
   * the lease has expired by the leader's clock.
   */
  private static final int LEASE_DRIFT_DIVISOR = 500;

  /** The part of a lease's duration that the owner leaves unused because timers may fire late. */
  private static final int LEASE_MARGIN_MS = 20;

  private final StepContext context;
  private final CancellationLog cancellations;
  private final FeatureGate gate;
  private final MachineAssignments assignments;
  private final boolean isSharesEnabled;
  private final Map<ShardId, ShardOwner> shardOwners = new TreeMap<>();

  /**
   * The epochs of leases that were refused because this process had already given the shard up at
   * that epoch or a higher one; reported to the leader.
   */
  private final Map<ShardId, Epoch> refusedEpochs = new TreeMap<>();

  /** The highest epoch at which this process has owned each shard that it has given up. */
  private final Map<ShardId, Epoch> usedEpochs = new TreeMap<>();

  /** Machines of whose release the leader has told, for shards that are granted afterwards. */
  private final ReleasedMachines released = new ReleasedMachines();

  private Map<String, MachineType> machineTypes = Map.of();

  /**
   * Creates an empty set.
   *
   * @param isSharesEnabled whether moves of machines between shards are enabled, so that shard
   *     owners report their demand for machines
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

  /** Returns the shard's owner in this process, or null if this process does not own the shard. */
  ShardOwner find(ShardId shard) {
    return shardOwners.get(shard);
  }

  /**
   * Runs one scheduling round of every shard owner.
   *
   * @param budget the processor time of this tick, shared by all shard owners
   */
  void tick(Input.RoundBudget budget) {
    for (ShardOwner shardOwner : shardOwners.values()) {
      shardOwner.runRound(budget);
    }
  }

  /**
   * Returns the earliest of the times up to which the shard owners have read all cancellations from
   * the state service, or {@link MonotonicTime#NEVER} if no shard owner has read them yet. Owners
   * that have not read them are left out.
   */
  MonotonicTime oldestCancellationView() {
    MonotonicTime oldest = MonotonicTime.NEVER;
    for (ShardOwner shardOwner : shardOwners.values()) {
      MonotonicTime knownUpTo = shardOwner.cancellationsShownUpTo();
      if (oldest == MonotonicTime.NEVER
          || (knownUpTo != MonotonicTime.NEVER && knownUpTo.isBefore(oldest))) {
        oldest = knownUpTo;
      }
    }
    return oldest;
  }

  /** Notifies all shard owners that a user has been told that the job is cancelled. */
  void onJobCancelled(JobId job) {
    shardOwners.values().forEach(shardOwner -> shardOwner.recordConfirmedCancellation(job));
  }

  /** Passes the types of machines that can be rented to all shard owners, present and future. */
  void updateCatalog(Map<String, MachineType> types) {
    machineTypes = types;
    shardOwners.values().forEach(shardOwner -> shardOwner.updateCatalog(types));
  }

  // ---- ownership ---------------------------------------------------------------------------

  /** Gives up ownership of the shard if another controller owns it at a higher epoch. */
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
   * Relinquishes the shards whose leases the leader no longer renews: it is revoking them. The next
   * heartbeat does not list such a shard, which tells the leader that it can grant the shard to
   * another controller.
   *
   * @return true if a shard was relinquished by this call
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
   * Accepts a lease that the leader has granted or renewed, and takes the shard over if this
   * process does not own it.
   *
   * @param requestedAt when the heartbeat was sent whose answer contains the lease
   * @return false if the lease is refused because this process has already given the shard up at
   *     the lease's epoch or a higher one
   */
  boolean accept(Lease lease, MonotonicTime requestedAt) {
    // The lease starts when the heartbeat was sent: counted from the arrival of the answer, a delay
    // of the answer would let it outlast the leader's lease.
    MonotonicTime until =
        requestedAt.plus(lease.ttlMs() - lease.ttlMs() / LEASE_DRIFT_DIVISOR - LEASE_MARGIN_MS);
    ShardOwner shardOwner = shardOwners.get(lease.shard());
    if (shardOwner != null
        && lease.epoch().isAbove(shardOwner.epoch())
        && !shardOwner.isLeaseValid()) {
      // Another controller may have owned the shard since this lease expired, so that the jobs and
      // machines in memory may be out of date.
      endOwnership(lease.shard(), "its lease expired before epoch " + lease.epoch());
      shardOwner = null;
    }
    if (shardOwner == null && isEpochUsed(lease)) {
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
   * Reports whether this process has already given the shard up at the lease's epoch or a higher
   * one. Such a lease is refused: the workers have exchanged numbered messages under that epoch, so
   * a new owner at the same epoch could not tell late heartbeats from new ones, and the workers
   * would ignore its answers. The refusal, reported to the leader, makes it allocate a higher
   * epoch.
   */
  private boolean isEpochUsed(Lease lease) {
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
    shardOwner.machines().removeReleased(released.names());
    shardOwner.recover();
    shardOwners.put(lease.shard(), shardOwner);
    return shardOwner;
  }

  // ---- exchange with the leader ------------------------------------------------------------

  /** Returns the reports for the leader: one per shard that is served here or was refused. */
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

  /**
   * Passes the leader's assignments and releases of machines, and the offers for which the cloud
   * has no capacity, to the shard owners.
   */
  void updateMachines(HeartbeatAnswer answer) {
    released.add(answer.released(), context.now());
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

  /** Reports whether any shard owned here requests more machines. */
  boolean hasCapacityRequests() {
    for (ShardOwner shardOwner : shardOwners.values()) {
      if (!shardOwner.autoscaler().capacityRequests().isEmpty()) {
        return true;
      }
    }
    return false;
  }

  /** Returns the number of shards owned here that have not been relinquished. */
  int countServed() {
    int served = 0;
    for (ShardOwner shardOwner : shardOwners.values()) {
      if (!shardOwner.isRelinquished()) {
        served++;
      }
    }
    return served;
  }

  // ---- for the test simulator --------------------------------------------------------------

  /** Returns the epoch of each shard owned by this process, also if its lease has expired. */
  Map<ShardId, Epoch> epochs() {
    Map<ShardId, Epoch> epochs = new TreeMap<>();
    shardOwners.forEach((shard, shardOwner) -> epochs.put(shard, shardOwner.epoch()));
    return epochs;
  }

  /** Returns the epoch of each shard whose lease this process holds at the given time. */
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

  /** Returns the machines to whose workers this process may send commands at the given time. */
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
