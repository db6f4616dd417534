package shorecrank.coordination.shard;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import shorecrank.coordination.model.CancellationLog;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.model.TeamQuotas;
import shorecrank.coordination.model.WorkerLiveness;
import shorecrank.coordination.scheduling.Autoscaler;
import shorecrank.coordination.scheduling.DependencyGraph;
import shorecrank.coordination.scheduling.PlacementRound;
import shorecrank.coordination.scheduling.SchedulingQueue;
import shorecrank.coordination.step.Input.RoundBudget;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.HeartbeatMessages.MachineHandover;
import shorecrank.protocol.HeartbeatMessages.ShardReport;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.FencingToken;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.UserMessages.JobStatus;
import shorecrank.protocol.WorkerMessages.WorkerHeartbeat;
import shorecrank.rollout.FeatureGate;

/**
 * The owner of one shard, from the grant of its epoch until a successor is known: it serves the
 * shard's jobs and machines and makes every write to its records.
 */
public final class ShardOwner {
  /** How often all machines and jobs are looked at; rounds between look at what has changed. */
  private static final int REVIEW_INTERVAL_MS = 1000;

  /** A machine that has been empty for so long is one that the shard can spare. */
  private static final int SPARE_IDLE_MS = 5000;

  private final StepContext context;
  private final CancellationLog cancellations;
  private final ShardLease lease;
  private final ShardJobs jobs;
  private final MachineRegistry machines;
  private final WorkerLiveness liveness;
  private final DependencyGraph dependencies;
  private final JobLifecycle lifecycle;
  private final WriteOutcomeResolver resolver;
  private final ShardRecovery recovery;
  private final JobRecordWriter writer;
  private final HeartbeatReplies replies;
  private final HeartbeatHandler heartbeats;
  private final DirectCommandSender directCommands;
  private final PlacementRound placement;
  private final Autoscaler autoscaler;
  private final StatusQueries statusQueries;
  private final ShardState state;
  private final QuotaGuard quotaGuard;

  private final ShardDemandReporter demandReporter;

  /** Whether the leader is told what the shard needs. */
  private final boolean sharesEnabled;

  private MonotonicTime reviewedAt = MonotonicTime.NEVER;
  private boolean missesManyWorkers;

  /**
   * @param grantedAt when the epoch was granted: nobody could command the shard's workers here
   *     before
   * @param sharesEnabled whether the shard's share of the machines is balanced against those of
   *     others
   */
  public ShardOwner(
      StepContext context,
      CancellationLog cancellations,
      FeatureGate gate,
      ShardId shard,
      Epoch epoch,
      MonotonicTime grantedAt,
      boolean sharesEnabled) {
    this.context = context;
    this.cancellations = cancellations;
    this.lease = new ShardLease(context, shard, epoch);
    boolean isOnlyShard = context.settings().shards() == 1;
    MachineReferences references =
        isOnlyShard ? MachineReferences.disabled() : new MachineReferences();
    ForeignTasks foreignTasks = new ForeignTasks(context, lease);
    this.machines =
        new MachineRegistry(context, lease, references, foreignTasks, new RegistryCallbacks());
    this.liveness = new WorkerLiveness(context, machines.machines().values(), grantedAt);
    TeamQuotas quotas = new TeamQuotas(context.config().teams(), machines.machines().values());
    this.jobs = new ShardJobs(context, quotas);
    this.dependencies =
        new DependencyGraph(context, jobs.all(), cancellations, this::cancelWithDependency);
    SchedulingQueue queue = new SchedulingQueue(context, dependencies);
    this.lifecycle =
        new JobLifecycle(context, lease, jobs, machines, dependencies, queue, cancellations);
    this.resolver = new WriteOutcomeResolver(context, lease, references, lifecycle);
    this.recovery =
        new ShardRecovery(context, lease, jobs, lifecycle, resolver, dependencies, cancellations);
    this.state = new ShardState(context, lease, recovery, jobs, machines, liveness, quotas);
    this.writer =
        new JobRecordWriter(context, lease, gate, jobs, queue, resolver, new WriteListener());
    this.quotaGuard = new QuotaGuard(context, jobs, quotas);
    CommandPlanner planner = new CommandPlanner(context, jobs, machines, cancellations, quotaGuard);
    this.replies = new HeartbeatReplies(context, lease, jobs, planner);
    this.directCommands = new DirectCommandSender(context, lease, jobs, planner);
    HeartbeatReconciler reconciler = new HeartbeatReconciler(context, jobs, quotaGuard);
    this.heartbeats = new HeartbeatHandler(context, lease, recovery, machines, reconciler, replies);
    this.placement =
        new PlacementRound(context, state, quotas, queue, machines.machinesWithFreeCpus());
    this.autoscaler = new Autoscaler(context, state);
    this.statusQueries = new StatusQueries(context, jobs, dependencies);
    this.demandReporter = new ShardDemandReporter(context, state);
    this.sharesEnabled = sharesEnabled;
    context.info(
        "shard.acquired shard=%s epoch=%s token=%s writer=%s",
        shard, epoch, FencingToken.of(epoch).value(), context.writer());
    context.count("part.takeover");
  }

  /** What becomes of the tasks of a machine that goes, and of an answer that it waits for. */
  private final class RegistryCallbacks implements MachineRegistry.Callbacks {
    @Override
    public void loseAttempt(TaskAttempt attempt) {
      jobs.lose(attempt);
    }

    @Override
    public void refuseDeferredReply(Machine machine) {
      replies.refuseDeferred(machine);
    }
  }

  /** What follows from writes that have their answer. */
  private final class WriteListener implements JobRecordWriter.Listener {
    @Override
    public void ended(Job job, JobStatus status) {
      statusQueries.recordEnded(job.id(), status);
      lifecycle.ended(job, status.state());
      context.info("job.ended job=%s state=%s epoch=%s", job.id(), status.state(), lease.epoch());
      context.count(job.isCancelled() ? "job.withdrawn" : "job.done");
    }

    @Override
    public void answered(List<RecordWrite> writes, boolean isCommitted) {
      replies.sendDue();
      if (isCommitted) {
        directCommands.sendStarts(writes);
      }
    }
  }

  // ---- lease -----------------------------------------------------------------------------------

  /** The epoch under which the shard is owned. */
  public Epoch epoch() {
    return lease.epoch();
  }

  /** The leader has granted the lease until a time, by this process's clock, or renewed it. */
  public void renewLease(Epoch granted, MonotonicTime until) {
    if (lease.renew(granted, until)) {
      recovery.epochRaised();
    }
  }

  /** Whether this process may command and write the shard now. */
  public boolean isLeaseValid() {
    return lease.isValid();
  }

  /** Whether this process may command and write the shard at a time. */
  public boolean isLeaseValidAt(MonotonicTime time) {
    return lease.isValidAt(time);
  }

  /**
   * The leader has not renewed the lease: nothing is commanded or written from now on.
   *
   * @return whether this is news
   */
  public boolean relinquish(String reason) {
    return lease.relinquish(reason);
  }

  /** Whether the leader did not renew the lease when it last could. */
  public boolean isRelinquished() {
    return lease.isRelinquished();
  }

  /**
   * Whether workers' leases may still be renewed, without commands, after the lease has expired.
   *
   * @param isAlone whether no other controller is heard
   */
  public boolean isInGrace(boolean isAlone) {
    return lease.isInGrace(isAlone, missesManyWorkers);
  }

  /** The ownership is over for good: a successor is known, or the memory is out of date. */
  public void endOwnership(String reason) {
    lease.end(reason);
    replies.sendAll();
    statusQueries.close();
  }

  // ---- cancellations ---------------------------------------------------------------------------

  /** Up to when the state service has shown this owner all cancellations. */
  public MonotonicTime cancellationsKnownUpTo() {
    return recovery.knownUpTo();
  }

  /**
   * Whether this owner knows of all cancellations that must end before the workers' lease that it
   * would renew does. Without that knowledge the lease has to take the tasks, also while the shard
   * is owned.
   */
  public boolean knowsRecentCancellations() {
    MonotonicTime horizon = cancellations.knownUpTo(recovery.knownUpTo());
    return context.now().since(horizon) <= context.maxCancellationStalenessMs();
  }

  /**
   * A user has been told that a job is cancelled. The mark is committed and final, so its tasks may
   * be stopped by whoever the workers still listen to, also in the grace period.
   */
  public void learnCancelled(JobId id) {
    Job job = jobs.find(id);
    if (job == null) {
      dependencies.onJobCancelled(id);
    } else if (!job.isCancelled()) {
      lifecycle.cancelled(job);
      if (lease.isValid() && !job.record().isInFlight()) {
        resolver.reread(job);
      }
    }
  }

  private void cancelWithDependency(Job job) {
    lifecycle.cancelWithDependency(job);
  }

  // ---- rounds ----------------------------------------------------------------------------------

  /** Begins to read the shard's records. */
  public void recover() {
    recovery.list();
  }

  /** One round: reads, places and writes what is due, and answers what waited for it. */
  public void runRound(RoundBudget budget) {
    if (lease.isEnded()) {
      return;
    }
    recovery.restartIfRequested(writer.isWriteInFlight());
    if (recovery.isReady()) {
      recovery.watchIfDue();
      reviewIfDue();
      if (lease.isValid()) {
        dependencies.tick();
        replies.beginRound();
        placement.run(budget);
        writer.writeDue();
      }
    } else {
      recovery.listIfDue();
    }
    replies.sendDue();
    statusQueries.answerPending();
  }

  /** Looks at all machines and jobs, for what became due without a change. */
  private void reviewIfDue() {
    if (context.now().since(reviewedAt) < REVIEW_INTERVAL_MS) {
      return;
    }
    reviewedAt = context.now();
    context.count("round.looks", machines.machines().size());
    machines.expireLeases(liveness);
    machines.revokeMovableAttempts();
    UtilizationGauges.update(context, state);
    UtilizationGauges.updateTeams(context, jobs.teamUses());
    quotaGuard.review();
    missesManyWorkers = liveness.missesManyWorkers();
    jobs.queueAllForReview();
  }

  // ---- workers and users -----------------------------------------------------------------------

  /**
   * Takes a worker's heartbeat in and answers it, now or after the next commit.
   *
   * @param reply the request to be answered
   * @param mayCommand whether the worker may be commanded, or its lease renewed only
   */
  public void handleHeartbeat(long reply, WorkerHeartbeat heartbeat, boolean mayCommand) {
    heartbeats.handle(reply, heartbeat, mayCommand);
  }

  /** Tells where a job stands, if this owner can. */
  public void queryStatus(JobId id, StatusQueries.StatusCallback callback) {
    statusQueries.query(id, recovery.isReady() && lease.isValid(), callback);
  }

  // ---- leader ----------------------------------------------------------------------------------

  /** The machines of the shard, for what the leader says of them. */
  public MachineRegistry machines() {
    return machines;
  }

  /** Which machines the shard asks the leader to rent and to return. */
  public Autoscaler autoscaler() {
    return autoscaler;
  }

  /** The machine types that can be rented, by name, have changed. */
  public void updateCatalog(Map<String, MachineType> types) {
    machines.updateCatalog(types);
  }

  /** The shard's part of the heartbeat to the leader. */
  public ShardReport report() {
    List<MachineName> machinesToRelease = new ArrayList<>();
    List<MachineName> spareMachines = new ArrayList<>();
    List<MachineHandover> handovers = List.of();
    if (recovery.isReady() && lease.isValid()) {
      machinesToRelease.addAll(autoscaler.scaleIn());
      handovers = machines.handOver(liveness);
      addSpareMachines(spareMachines);
    }
    boolean hasQueuedTasks =
        !recovery.isReady()
            || jobs.all().values().stream().anyMatch(job -> job.queuedTaskCount() > 0);
    return new ShardReport(
        lease.shard(),
        lease.epoch(),
        lease.refusedBy(),
        hasQueuedTasks,
        liveness.reachability(),
        autoscaler.capacityRequests(),
        machinesToRelease,
        spareMachines,
        handovers,
        machines.misplaced(),
        machines.references().isTracking(),
        sharesEnabled ? demandReporter.current().orElse(null) : null);
  }

  private void addSpareMachines(List<MachineName> spareMachines) {
    for (Machine machine : machines.machines().values()) {
      if (!machine.assignment().isHandoverRequested()
          && (state.isUsable(machine) || machine.isDraining())
          && machine.isEmpty()
          && context.now().since(machine.idleSince()) > SPARE_IDLE_MS) {
        spareMachines.add(machine.name());
      }
    }
  }
}
