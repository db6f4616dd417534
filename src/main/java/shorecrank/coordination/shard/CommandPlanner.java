package shorecrank.coordination.shard;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import shorecrank.coordination.model.CancellationLog;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.model.WorkerSession;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.TaskAttemptId;
import shorecrank.protocol.WorkerMessages.Reap;
import shorecrank.protocol.WorkerMessages.Start;
import shorecrank.protocol.WorkerMessages.Stop;
import shorecrank.protocol.WorkerMessages.TaskState;
import shorecrank.protocol.WorkerMessages.TaskStatus;
import shorecrank.protocol.WorkerMessages.WorkerCommand;
import shorecrank.protocol.WorkerMessages.WorkerHeartbeat;

/** Decides what a worker is told, from its last heartbeat and the records that are committed. */
final class CommandPlanner {
  /** A stop at once, without time to save. */
  private static final double NO_GRACE_S = 0;

  /** Seconds that a task that saves gets beyond what it says that it takes. */
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

  // ---- without the right to command ------------------------------------------------------------

  /**
   * The stops of cancelled tasks. Every answer that renews a worker's lease ends what is cancelled,
   * whatever else it may not command: the lease would keep it running. A start on its way straight
   * to the machine may come before it.
   */
  List<WorkerCommand> planCancellationStops(Machine machine, WorkerHeartbeat heartbeat) {
    List<WorkerCommand> stops = new ArrayList<>();
    Set<TaskAttemptId> listed = new HashSet<>();
    for (TaskStatus status : heartbeat.tasks()) {
      listed.add(status.attemptId());
      addStopIfCancelled(status, stops);
    }
    addStopsForUnlisted(machine, listed, stops);
    return stops;
  }

  private void addStopIfCancelled(TaskStatus status, List<WorkerCommand> stops) {
    if (status.state() != TaskState.EXITED && isCancelled(status.attemptId().job())) {
      stops.add(new Stop(status.attemptId(), NO_GRACE_S));
    }
  }

  private boolean isCancelled(JobId id) {
    Job job = jobs.find(id);
    return (job != null && job.isCancelled()) || cancellations.isKnown(id);
  }

  private static void addStopsForUnlisted(
      Machine machine, Set<TaskAttemptId> listed, List<WorkerCommand> stops) {
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
   * All commands to a machine, which count as given from now on.
   *
   * @param direct whether they go out in a command of their own, not in the answer to a heartbeat
   */
  List<WorkerCommand> planCommands(Machine machine, boolean direct) {
    List<WorkerCommand> commands = new ArrayList<>();
    Set<TaskAttempt> listed = new HashSet<>();
    for (TaskStatus status : machine.session().lastHeartbeat().tasks()) {
      addForListed(machine, status, direct, listed, commands);
    }
    Set<TaskAttemptId> listedIds = new HashSet<>();
    machine.session().lastHeartbeat().tasks().forEach(status -> listedIds.add(status.attemptId()));
    addStopsForUnlisted(machine, listedIds, commands);
    addStarts(machine, direct, listed, commands);
    return commands;
  }

  private void addForListed(
      Machine machine,
      TaskStatus status,
      boolean direct,
      Set<TaskAttempt> listed,
      List<WorkerCommand> commands) {
    JobId id = status.attemptId().job();
    Job job = jobs.find(id);
    TaskAttempt attempt = job == null ? null : job.tasks().attempt(status.attemptId().index());
    if (jobs.isRelinquished(id) || (job != null && !job.record().isFreeOfEarlierOwner())) {
      // Not this owner's, or not yet: nothing is commanded for it, but that a cancelled one ends.
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

  /** No record names the attempt that the worker lists. */
  private void addForUnexpected(
      Machine machine, Job job, TaskStatus status, boolean direct, List<WorkerCommand> commands) {
    TaskAttemptId id = status.attemptId();
    if (job == null
        && (status.state() == TaskState.EXITED || !isCancelled(id.job()))
        && !machines.mayDiscard(machine, id)) {
      // Its own shard's owner may not have taken its result yet.
      context.count("foreign.kept");
    } else if (status.state() != TaskState.EXITED) {
      commands.add(new Stop(id, NO_GRACE_S));
      context.info("task.unexpected machine=%s task=%s", machine.name(), id);
    } else if (isExitRecorded(job, id)
        && !direct
        && !machine.session().tokens().hasPendingDirectStart(id)) {
      // Reaped only once no record names it and no start of it is under way: a repeated start would
      // run it anew.
      commands.add(new Reap(id));
    }
  }

  private static boolean isExitRecorded(Job job, TaskAttemptId id) {
    return job == null || job.tasks().isExitRecorded(id, job.record().committedSequence());
  }

  private static void addStopIfDue(
      Machine machine, TaskAttempt attempt, TaskStatus status, List<WorkerCommand> commands) {
    Job job = attempt.job();
    double checkpointS = job.spec().checkpointDurationS();
    if (job.isCancelled()) {
      commands.add(new Stop(attempt.id(), NO_GRACE_S));
    } else if (status.state() == TaskState.CHECKPOINTING) {
      return;
    } else if (attempt.isRevoked() || machine.isReleasing()) {
      commands.add(new Stop(attempt.id(), checkpointS + CHECKPOINT_MARGIN_S));
    } else if (machine.isPreemptionNoticed() && job.spec().checkpointIntervalS() > 0) {
      double noticeS = machine.session().lastHeartbeat().noticeS();
      commands.add(new Stop(attempt.id(), Math.max(checkpointS, noticeS)));
    }
  }

  private void addStarts(
      Machine machine, boolean direct, Set<TaskAttempt> listed, List<WorkerCommand> commands) {
    int firstStarts = 0;
    for (TaskAttempt attempt : machine.attempts()) {
      if (!listed.contains(attempt) && mayStart(machine, attempt)) {
        commands.add(new Start(attempt.id()));
        if (attempt.recordStartSent(direct)) {
          firstStarts++;
          context.count("task.commanded");
          context.count("task.commanded.ms", context.now().since(attempt.placedAt()));
        }
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
