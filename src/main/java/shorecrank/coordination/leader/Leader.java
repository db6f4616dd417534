package shorecrank.coordination.leader;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.HeartbeatMessages.Heartbeat;
import shorecrank.protocol.HeartbeatMessages.HeartbeatAnswer;
import shorecrank.protocol.HeartbeatMessages.Lease;
import shorecrank.protocol.HeartbeatMessages.MachineInfo;
import shorecrank.protocol.HeartbeatMessages.ShardReport;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.rebalance.MoveCoordinator;
import shorecrank.rebalance.ShareSettings;
import shorecrank.rollout.FeatureGate;
import shorecrank.rollout.RolloutCoordinator;

/**
 * The work of the leading controller: grants shards to controllers, assigns machines to shards, and
 * answers heartbeats with both. Does nothing on controllers that don't lead.
 */
public final class Leader implements ShardTable {
  private final StepContext context;
  private final Election election;
  private final RolloutView rollout;
  private final LoadedTerm loadedTerm;
  private final ShardLeaseTable shards;
  private final ControllerTable controllers;
  private final EpochAllocator epochs;
  private final OwnerSelection ownerSelection;
  private final LeaseRenewal leaseRenewal;
  private final LeaderRecovery recovery;
  private final MachineDirectory machines;
  private final MachineReleases releases;
  private final MachineAdmission admission;
  private final CloudProvisioner cloud;
  private final MachineAssigner assigner;
  private final HeartbeatAnswerBuilder answerBuilder;

  /** The assigner of machines if shares are enabled; null otherwise. */
  private final ShareAssigner shareAssigner;

  /**
   * Whether no lease could be granted since the last tick, because this process may not have been
   * the leader.
   */
  private boolean wasInterrupted;

  /**
   * Creates the leader of a controller.
   *
   * @param rolloutCoordinator decides which controllers may own shards; null if rollouts are not
   *     enabled
   * @param gate receives the feature level before any heartbeat is answered
   * @param shares the operators' settings of shares; null if shares are not enabled
   */
  public Leader(
      StepContext context,
      Election election,
      RolloutCoordinator rolloutCoordinator,
      FeatureGate gate,
      ShareSettings shares) {
    this.context = context;
    this.election = election;
    this.rollout = new RolloutView(context, rolloutCoordinator, gate);
    this.loadedTerm = new LoadedTerm(context);
    this.shards = new ShardLeaseTable(context);
    this.controllers = new ControllerTable(context);
    this.epochs = new EpochAllocator(context, election, loadedTerm, shards, this::handleAllocated);
    this.ownerSelection = new OwnerSelection(context, loadedTerm, shards, controllers, rollout);
    OwnerFailureDetector failureDetector = new OwnerFailureDetector(context, controllers);
    this.leaseRenewal = new LeaseRenewal(context, shards, epochs, failureDetector, rollout);
    this.machines = new MachineDirectory(context, election, loadedTerm);
    this.recovery =
        new LeaderRecovery(
            context, election, loadedTerm, epochs, shards, machines, this::beginTerm);
    this.shareAssigner =
        shares == null
            ? null
            : new ShareAssigner(
                context, election, rolloutCoordinator, gate, shares, machines, this);
    this.assigner =
        shares == null ? new SpareMachineAssigner(context, machines, this) : shareAssigner;
    CloudClient client = new CloudClient(context);
    this.releases = new MachineReleases(context, loadedTerm, machines, client);
    this.admission = new MachineAdmission(context, machines, shards, releases, assigner);
    this.cloud = new CloudProvisioner(context, loadedTerm, client, machines, releases, admission);
    this.answerBuilder =
        new HeartbeatAnswerBuilder(
            election, shards, controllers, machines, releases, cloud, rollout);
  }

  /** Updates the machine types that the cloud offers. */
  public void updateCatalog(Map<String, MachineType> types) {
    cloud.updateCatalog(types);
    if (shareAssigner != null) {
      shareAssigner.updateCatalog(types);
    }
  }

  /** Returns the coordinator that moves machines between shards; null if shares are not enabled. */
  public MoveCoordinator moveCoordinator() {
    return shareAssigner == null ? null : shareAssigner.moveCoordinator();
  }

  /**
   * Reports whether this process leads and has loaded everything that heartbeat answers contain.
   */
  private boolean isReady() {
    boolean levelKnown = rollout.isReady();
    boolean loaded = election.isLeading() && loadedTerm.isCurrent(election.term());
    return loaded && levelKnown && assigner.isReady();
  }

  /** Does the leader's periodic work; called on every tick of the controller. */
  public void tick() {
    if (!election.isLeading()) {
      wasInterrupted = true;
      return;
    }
    rollout.updateGate();
    assigner.refresh();
    if (!isReady()) {
      if (!loadedTerm.isCurrent(election.term())
          && !recovery.isLoading()
          && !isUnsettled()
          && loadedTerm.mayLoad()) {
        recovery.load();
      }
      return;
    }
    if (wasInterrupted) {
      wasInterrupted = false;
      shards.extendLeasesAfterInterruption();
    }
    assignShards();
    assigner.tick();
    if (!assigner.isUnsettled()) {
      machines.save();
    }
    cloud.tick();
  }

  /**
   * Reports whether a write of this term has no answer yet. State that is loaded before the answer
   * may be outdated by that write: the old owner could then be granted a lease while its successor
   * is being stored.
   */
  private boolean isUnsettled() {
    return epochs.isUnsettled() || assigner.isUnsettled();
  }

  private void beginTerm() {
    controllers.reset();
    epochs.beginTerm();
    machines.beginTerm(loadedTerm.current());
    assigner.beginTerm();
    cloud.beginTerm();
  }

  /** Allocates an epoch and an owner for a shard that is vacant or whose lease has expired. */
  private void assignShards() {
    for (Map.Entry<ShardId, ShardState> entry : shards.entries()) {
      ShardId id = entry.getKey();
      ShardState shard = entry.getValue();
      boolean expired = shard.isLeaseExpired(context.now());
      if ((!shard.isVacant() && !expired) || shard.isAllocating() || epochs.isAllocating()) {
        continue;
      }
      Optional<ControllerName> next = ownerSelection.choose(shard);
      if (next.isPresent()) {
        if (expired) {
          context.info("shard.lease.expired shard=%s owner=%s", id, shard.owner());
        }
        epochs.allocate(id, shard, next.get(), controllers.get(next.get()).writer(), Epoch.NONE);
      }
    }
  }

  private void handleAllocated(ShardId shard) {
    assigner.handleNewEpoch(shard);
  }

  // ---- heartbeats ------------------------------------------------------------------------------

  /**
   * Answers a controller's heartbeat.
   *
   * @return the answer; null while this process does not lead or is still loading
   */
  public HeartbeatAnswer handleHeartbeat(Heartbeat heartbeat) {
    if (!isReady()) {
      return null;
    }
    ControllerState sender = controllers.recordHeartbeat(heartbeat);
    rollout.recordHeartbeat(heartbeat);
    List<Lease> leases = leaseRenewal.renew(heartbeat, sender);
    handleReports(heartbeat);
    for (MachineInfo machine : heartbeat.unassignedMachines()) {
      admission.admitDiscovered(machine, "source=heartbeat controller=" + heartbeat.sender());
    }
    return answerBuilder.build(heartbeat, leases);
  }

  private void handleReports(Heartbeat heartbeat) {
    for (ShardReport report : heartbeat.shards()) {
      ShardState shard = shards.get(report.shard());
      if (shard != null
          && heartbeat.writer().equals(shard.writer())
          && report.epoch().equals(shard.epoch())) {
        handleReport(report, heartbeat.assignmentVersion());
      } else if (report.refusedEpoch().value() > 0) {
        // The report is not from the shard's owner, so it must not raise the shard's epoch.
        context.info(
            "shard.report.refused shard=%s epoch=%s controller=%s",
            report.shard(), report.refusedEpoch(), heartbeat.sender());
      }
    }
  }

  /**
   * Handles the requests of a shard's owner.
   *
   * @param knownVersion the version of the assignments that the owner knows
   */
  private void handleReport(ShardReport report, long knownVersion) {
    for (MachineName name : report.machinesToRelease()) {
      AssignedMachine machine = machines.get(name);
      // An unknown machine may have been released by an earlier leader that could not record it.
      boolean belongsToOwner =
          machine == null ? !releases.wasReleased(name) : machine.shard().equals(report.shard());
      if (belongsToOwner) {
        releases.request(name);
      }
    }
    assigner.handleReport(report);
    // An owner that has not received the last assignments would request the same machines again.
    boolean allStored = shards.isSingleShard() || machines.isWritten();
    if (knownVersion == machines.version() && allStored && cloud.isIdle()) {
      cloud.request(report.shard(), report.capacityRequests());
    }
  }

  // ---- shard state for the machine assigners ---------------------------------------------------

  @Override
  public Set<ShardId> shards() {
    return shards.ids();
  }

  @Override
  public Epoch epoch(ShardId shard) {
    return shards.epoch(shard);
  }

  @Override
  public ControllerName owner(ShardId shard) {
    return shards.owner(shard);
  }

  @Override
  public void reload() {
    loadedTerm.discard();
  }

  @Override
  public boolean hasQueuedTasks(ShardId shard) {
    return shards.hasQueuedTasks(shard);
  }

  @Override
  public void raiseEpochAbove(ShardId id, Epoch lowerBound) {
    ShardState shard = shards.get(id);
    if (shard != null && !shard.isVacant() && !shard.isAllocating()) {
      epochs.allocate(id, shard, shard.owner(), shard.writer(), lowerBound);
    }
  }
}
