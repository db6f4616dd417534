package shorecrank.coordination.shard;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import shorecrank.coordination.model.CancellationLog;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.model.TaskListSpace;
import shorecrank.coordination.model.WorkerSession;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.TaskAttemptId;
import shorecrank.protocol.WorkerHeartbeatCodec;
import shorecrank.protocol.WorkerMessages.Reap;
import shorecrank.protocol.WorkerMessages.Start;
import shorecrank.protocol.WorkerMessages.Stop;
import shorecrank.protocol.WorkerMessages.TaskState;
import shorecrank.protocol.WorkerMessages.TaskStatus;
import shorecrank.protocol.WorkerMessages.WorkerCommand;
import shorecrank.protocol.WorkerMessages.WorkerHeartbeat;

/** Plans the commands to a worker from its last heartbeat and the committed records. */
final class CommandPlanner {
  /** Grace period, in seconds, of a stop that leaves the task no time to write a checkpoint. */
  private static final double NO_GRACE_S = 0;

  /** Seconds by which the grace period of a stop exceeds the job's stated checkpoint duration. */
  private static final double CHECKPOINT_MARGIN_S = 1;

  private final StepContext context;
  private final ShardJobs jobs;
  private final MachineRegistry machines;
  private final CancellationLog cancellations;
  private final QuotaGuard quotaGuard;

  CommandPlanner(
      StepContext context,
      ShardJobs jobs,
      MachineRegistry machines,
      CancellationLog cancellations,
      QuotaGuard quotaGuard) {
    this.context = context;
    this.jobs = jobs;
    this.machines = machines;
    this.cancellations = cancellations;
    this.quotaGuard = quotaGuard;
  }

  // ---- cancellation stops -----------------------------------------------------------------------

  /**
   * Plans the stops of cancelled tasks. Every answer that renews the worker's lease carries them,
   * even where this owner may command nothing else, because the lease would otherwise keep the
   * tasks running. Attempts that a delayed direct command may still start are stopped as well.
   *
   * @return the stops; empty if nothing on the machine is cancelled
   */
  List<WorkerCommand> planCancellationStops(Machine machine, WorkerHeartbeat heartbeat) {
    CommandBatch stops = new CommandBatch();
    Set<TaskAttemptId> listed = new HashSet<>();
    for (TaskStatus status : heartbeat.tasks()) {
      listed.add(status.attemptId());
      addStopIfCancelled(status, stops);
    }
    addStopsForUnlisted(machine, listed, stops);
    return stops.commands();
  }

  private void addStopIfCancelled(TaskStatus status, CommandBatch stops) {
    if (status.state() != TaskState.EXITED && isCancelled(status.attemptId().job())) {
      stops.add(new Stop(status.attemptId(), NO_GRACE_S));
    }
  }

  private boolean isCancelled(JobId id) {
    Job job = jobs.find(id);
    return (job != null && job.isCancelled()) || cancellations.isCancelled(id);
  }

  private static void addStopsForUnlisted(
      Machine machine, Set<TaskAttemptId> listed, CommandBatch stops) {
    for (TaskAttempt attempt : machine.attempts()) {
      if (attempt.job().isCancelled()
          && attempt.isCommitted()
          && attempt.incarnation().equals(machine.session().incarnation())
          && !listed.contains(attempt.id())
          && (!machine.session().isConfirmed()
              || machine.session().tokens().hasPendingDirectStart(attempt.id()))) {
        stops.add(new Stop(attempt.id(), NO_GRACE_S));
      }
    }
  }

  // ---- all commands ----------------------------------------------------------------------------

  /**
   * Plans the commands to a machine and marks its starts as commanded. Commands that do not fit
   * into one message are left to the next one, starts first.
   *
   * @param direct whether the commands are sent in a direct command, not in the answer to a
   *     heartbeat
   */
  List<WorkerCommand> planCommands(Machine machine, boolean direct) {
    CommandBatch commands = new CommandBatch();
    Set<TaskAttempt> listed = new HashSet<>();
    for (TaskStatus status : machine.session().lastHeartbeat().tasks()) {
      addForListed(machine, status, direct, listed, commands);
    }
    Set<TaskAttemptId> listedIds = new HashSet<>();
    machine.session().lastHeartbeat().tasks().forEach(status -> listedIds.add(status.attemptId()));
    addStopsForUnlisted(machine, listedIds, commands);
    addStarts(machine, direct, listed, commands);
    return commands.commands();
  }

  private void addForListed(
      Machine machine,
      TaskStatus status,
      boolean direct,
      Set<TaskAttempt> listed,
      CommandBatch commands) {
    JobId id = status.attemptId().job();
    Job job = jobs.find(id);
    TaskAttempt attempt = job == null ? null : job.tasks().attempt(status.attemptId().index());
    if (jobs.isRelinquished(id) || (job != null && !job.record().isFreeOfEarlierOwner())) {
      // The job has another owner, or this owner has not claimed the job's record yet: the only
      // command for the task is a stop, if the job is cancelled.
      addStopIfCancelled(status, commands);
      if (attempt != null) {
        listed.add(attempt);
      }
    } else if (attempt != null
        && attempt.machine() == machine
        && attempt.number().equals(status.attemptId().attempt())) {
      listed.add(attempt);
      addStopIfDue(machine, attempt, status, commands);
    } else {
      addForUnexpected(machine, job, status, direct, commands);
    }
  }

  /** Adds the command for an attempt that the worker lists and no record of this shard names. */
  private void addForUnexpected(
      Machine machine, Job job, TaskStatus status, boolean direct, CommandBatch commands) {
    TaskAttemptId id = status.attemptId();
    if (job == null
        && (status.state() == TaskState.EXITED || !isCancelled(id.job()))
        && !machines.mayDiscard(machine, id)) {
      // Neither stopped nor reaped: another shard's record may name the attempt, and that shard's
      // owner may not have recorded the attempt's result.
      context.count("foreign.kept");
    } else if (status.state() != TaskState.EXITED) {
      commands.add(new Stop(id, NO_GRACE_S));
      context.info("task.unexpected machine=%s task=%s", machine.name(), id);
    } else if (isExitRecorded(job, id)
        && !direct
        && !machine.session().tokens().hasPendingDirectStart(id)) {
      // Reaped only once no record names the attempt and no direct command may still start it: a
      // worker that receives a repeated start after the reap would run the task again.
      commands.add(new Reap(id));
    }
  }

  private static boolean isExitRecorded(Job job, TaskAttemptId id) {
    return job == null || job.tasks().isExitRecorded(id, job.record().committedSequence());
  }

  private static void addStopIfDue(
      Machine machine, TaskAttempt attempt, TaskStatus status, CommandBatch commands) {
    Job job = attempt.job();
    double checkpointS = job.spec().checkpointDurationS();
    if (job.isCancelled()) {
      commands.add(new Stop(attempt.id(), NO_GRACE_S));
    } else if (status.state() == TaskState.CHECKPOINTING) {
      return;
    } else if (attempt.isRevoked() || machine.isReleasing()) {
      commands.add(new Stop(attempt.id(), checkpointS + CHECKPOINT_MARGIN_S));
    } else if (machine.isPreemptionNoticed() && job.spec().checkpointIntervalS() > 0) {
      double reclaimInS = machine.session().lastHeartbeat().reclaimInS();
      commands.add(new Stop(attempt.id(), Math.max(checkpointS, reclaimInS)));
    }
  }

  private void addStarts(
      Machine machine, boolean direct, Set<TaskAttempt> listed, CommandBatch commands) {
    int firstStarts = 0;
    int listBytesLeft = TaskListSpace.bytesLeftAfter(machine.session().lastHeartbeat());
    for (TaskAttempt attempt : machine.attempts()) {
      if (listed.contains(attempt) || !mayStart(machine, attempt)) {
        continue;
      }
      listBytesLeft -= WorkerHeartbeatCodec.maxTaskBytes(attempt.job().id());
      if (listBytesLeft < 0 || !commands.add(new Start(attempt.id()))) {
        context.count("task.start.deferred");
        break;
      }
      if (attempt.recordStartSent(direct)) {
        firstStarts++;
        context.count("task.commanded");
        context.count("task.commanded.ms", context.now().since(attempt.placedAt()));
      }
    }
    if (firstStarts > 0) {
      logStarts(machine, firstStarts, direct);
    }
  }

  private void logStarts(Machine machine, int starts, boolean direct) {
    WorkerSession session = machine.session();
    context.infoLimited(
        "task.start.sent",
        "machine=%s incarnation=%d starts=%d way=%s after_heartbeat=%d token_shown=%d",
        machine.name(),
        session.incarnation().value(),
        starts,
        direct ? "direct" : "answer",
        session.sequence(),
        session.tokens().shown().value());
  }

  private boolean mayStart(Machine machine, TaskAttempt attempt) {
    return !attempt.isListed()
        && attempt.isCommitted()
        && attempt.job().record().isClaimed()
        && attempt.incarnation().equals(machine.session().incarnation())
        && !attempt.job().isCancelled()
        && !attempt.isRevoked()
        && !machine.isPreemptionNoticed()
        && !machine.session().isUnresponsive()
        && !machine.isReleasing()
        && quotaGuard.mayStart(attempt.job());
  }
}
