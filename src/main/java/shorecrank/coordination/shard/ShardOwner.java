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
 * Owner of one shard, from the grant of its epoch until a successor is known. It serves the shard's
 * jobs and machines and makes every write to its records.
 */
public final class ShardOwner {
  /**
   * Interval at which all machines and jobs are examined; rounds in between examine only changes.
   */
  private static final int REVIEW_INTERVAL_MS = 1000;

  /** Time for which a machine must have been empty before it is reported as spare. */
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

  /** Whether the shard's demand is reported to the leader. */
  private final boolean sharesEnabled;

  private MonotonicTime reviewedAt = MonotonicTime.NEVER;
  private boolean isMissingManyWorkers;

  /**
   * Creates the owner of a shard and logs its epoch.
   *
   * @param grantedAt when the epoch was granted; before then, this process handled no heartbeat of
   *     the shard's workers as their owner
   * @param sharesEnabled whether the shard's share of the machines is balanced against those of
   *     other shards
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
    this.statusQueries = new StatusQueries(context, lease, jobs, dependencies, recovery.changes());
    this.demandReporter = new ShardDemandReporter(context, state);
    this.sharesEnabled = sharesEnabled;
    context.info(
        "shard.acquired shard=%s epoch=%s token=%s writer=%s",
        shard, epoch, FencingToken.of(epoch).value(), context.writer());
    context.count("part.takeover");
  }

  /** Applies the registry's decisions to the jobs and the deferred replies. */
  private final class RegistryCallbacks implements MachineRegistry.Callbacks {
    @Override
    public void abandonAttempt(TaskAttempt attempt) {
      jobs.abandon(attempt);
    }

    @Override
    public void refuseDeferredReply(Machine machine) {
      replies.refuseDeferred(machine);
    }
  }

  /** Acts on the outcomes of writes. */
  private final class WriteListener implements JobRecordWriter.Listener {
    @Override
    public void onEnded(Job job, JobStatus status) {
      statusQueries.recordEnded(job.id(), status);
      lifecycle.onEnded(job, status.state());
      context.info("job.ended job=%s state=%s epoch=%s", job.id(), status.state(), lease.epoch());
      context.count(job.isCancelled() ? "job.withdrawn" : "job.done");
    }

    @Override
    public void onAnswered(List<RecordWrite> writes, boolean isCommitted) {
      replies.sendDue();
      if (isCommitted) {
        directCommands.sendStarts(writes);
      }
    }
  }

  // ---- lease -----------------------------------------------------------------------------------

  /** Returns the epoch under which the shard is owned. */
  public Epoch epoch() {
    return lease.epoch();
  }

  /**
   * Records that the leader has granted or renewed the lease.
   *
   * @param until the end of the lease by this process's clock
   */
  public void renewLease(Epoch granted, MonotonicTime until) {
    if (lease.renew(granted, until)) {
      recovery.handleEpochRaised();
    }
  }

  /** Reports whether this process may command and write the shard now. */
  public boolean isLeaseValid() {
    return lease.isValid();
  }

  /** Reports whether this process may command and write the shard at the given time. */
  public boolean isLeaseValidAt(MonotonicTime time) {
    return lease.isValidAt(time);
  }

  /**
   * Ends the lease because the leader has not renewed it: nothing is commanded or written any more.
   *
   * @param reason for the log
   * @return false if the lease was already relinquished
   */
  public boolean relinquish(String reason) {
    return lease.relinquish(reason);
  }

  /** Reports whether the lease is relinquished: the leader has stopped renewing it. */
  public boolean isRelinquished() {
    return lease.isRelinquished();
  }

  /**
   * Reports whether workers' leases may still be renewed, without commands, after the lease has
   * expired.
   *
   * @param isIsolated whether no message from another controller has arrived lately
   */
  public boolean isInGrace(boolean isIsolated) {
    return lease.isInGrace(isIsolated, isMissingManyWorkers);
  }

  /**
   * Ends the ownership for good, because a successor is known or the state in memory is out of
   * date.
   *
   * @param reason for the log
   */
  public void endOwnership(String reason) {
    lease.end(reason);
    replies.sendAll();
    recovery.close();
    statusQueries.close();
  }

  // ---- cancellations ---------------------------------------------------------------------------

  /**
   * Returns the time up to which the state service has shown this owner all cancellations; {@link
   * MonotonicTime#NEVER} until all records have been read.
   */
  public MonotonicTime cancellationsShownUpTo() {
    return recovery.changes().shownUpTo();
  }

  /**
   * Reports whether this owner's knowledge of confirmed cancellations is recent enough to renew
   * workers' leases. If not, the leases must be left to expire, even by a valid owner: their expiry
   * ends the tasks whose cancellation this owner may have missed.
   */
  public boolean knowsRecentCancellations() {
    MonotonicTime knownUpTo = cancellations.knownUpTo(recovery.changes().shownUpTo());
    return context.now().since(knownUpTo) <= context.maxCancellationStalenessMs();
  }

  /**
   * Records that a user has been told that a job is cancelled. The mark of the cancellation is
   * committed and final, so every controller that the workers still obey may stop the tasks, also
   * in the grace period.
   */
  public void recordConfirmedCancellation(JobId id) {
    Job job = jobs.find(id);
    if (job == null) {
      dependencies.onJobCancelled(id);
    } else if (!job.isCancelled()) {
      lifecycle.onCancelled(job);
      if (lease.isValid() && !job.record().isInFlight()) {
        resolver.reread(job);
      }
    }
  }

  private void cancelWithDependency(Job job) {
    lifecycle.cancelWithDependency(job);
  }

  // ---- rounds ----------------------------------------------------------------------------------

  /** Starts to read the shard's records. */
  public void recover() {
    recovery.list();
  }

  /**
   * Runs one round: watches for changed records, places tasks, writes records that are due, sends
   * the deferred replies to heartbeats that are due, and answers pending status queries.
   */
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

  /** Examines all machines and jobs once per interval, for what becomes due without a change. */
  private void reviewIfDue() {
    if (context.now().since(reviewedAt) < REVIEW_INTERVAL_MS) {
      return;
    }
    reviewedAt = context.now();
    context.count("round.looks", machines.machines().size());
    machines.expireLeases(liveness);
    machines.revokeMovableAttempts();
    UtilizationGauges.update(context, state);
    statusQueries.updateGauges();
    UtilizationGauges.updateTeams(context, jobs.teamUsages());
    quotaGuard.review();
    isMissingManyWorkers = liveness.isMissingManyWorkers();
    jobs.queueAllForReview();
  }

  // ---- workers and users -----------------------------------------------------------------------

  /**
   * Handles a worker's heartbeat and answers it, now or after the next commit.
   *
   * @param reply the number of the request to answer
   * @param mayCommand whether the worker may be commanded; if not, only its lease is renewed
   */
  public void handleHeartbeat(long reply, WorkerHeartbeat heartbeat, boolean mayCommand) {
    heartbeats.handle(reply, heartbeat, mayCommand);
  }

  /**
   * Queries the status of a job. The answer follows at once, or after {@link #answerQueries}.
   *
   * @param callback receives the status; empty if this owner can't tell it
   */
  public void queryStatus(JobId id, StatusQueries.StatusCallback callback) {
    statusQueries.query(id, callback);
  }

  /** Starts to answer the queries that were added, as soon as the state service may be asked. */
  public void answerQueries() {
    statusQueries.answerPending();
  }

  // ---- leader ----------------------------------------------------------------------------------

  /** Returns the machines of the shard. */
  public MachineRegistry machines() {
    return machines;
  }

  /**
   * Returns the autoscaler, which decides the machines that the leader is asked to rent and to
   * return.
   */
  public Autoscaler autoscaler() {
    return autoscaler;
  }

  /** Updates the machine types that can be rented, by name. */
  public void updateCatalog(Map<String, MachineType> types) {
    machines.updateCatalog(types);
  }

  /** Returns the shard's part of the heartbeat to the leader. */
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
