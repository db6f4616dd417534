package shorecrank.coordination.shard;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.model.TaskListSpace;
import shorecrank.coordination.model.WriteUrgency;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.WorkerMessages.ExitReason;
import shorecrank.protocol.WorkerMessages.TaskState;
import shorecrank.protocol.WorkerMessages.TaskStatus;
import shorecrank.protocol.WorkerMessages.WorkerHeartbeat;

/** Reconciles the tasks that a worker's heartbeat lists with the records of the shard. */
final class HeartbeatReconciler {
  /** Pause of placements on a machine that refused a start for lack of free resources. */
  private static final long INSUFFICIENT_RESOURCES_PAUSE_MS = 2000;

  /**
   * Pause of placements on a machine that refused a start because it still holds another attempt of
   * the task.
   */
  private static final long BUSY_PAUSE_MS = 1000;

  private final StepContext context;
  private final ShardJobs jobs;
  private final QuotaGuard quotaGuard;

  HeartbeatReconciler(StepContext context, ShardJobs jobs, QuotaGuard quotaGuard) {
    this.context = context;
    this.jobs = jobs;
    this.quotaGuard = quotaGuard;
  }

  /**
   * Reconciles the attempts on a machine with those that a heartbeat lists.
   *
   * @return whether capacity has become free on the machine
   */
  boolean reconcile(Machine machine, WorkerHeartbeat heartbeat) {
    boolean freed = false;
    int otherBytes = 0;
    machine.clearUnrecordedTasks();
    Set<TaskAttempt> unlisted = new LinkedHashSet<>(machine.attempts());
    for (TaskStatus status : heartbeat.tasks()) {
      Job job = jobs.find(status.attemptId().job());
      int index = status.attemptId().index();
      TaskAttempt attempt = job == null ? null : job.tasks().attempt(index);
      boolean hasExited = status.state() == TaskState.EXITED;
      if (attempt != null
          && attempt.machine() == machine
          && attempt.number().equals(status.attemptId().attempt())
          && attempt.incarnation().equals(heartbeat.incarnation())) {
        unlisted.remove(attempt);
        freed |= hasExited;
        recordObserved(machine, attempt, status);
        otherBytes += hasExited ? TaskListSpace.bytes(status) : 0;
      } else {
        otherBytes += TaskListSpace.bytes(status);
        if (!hasExited && job != null && index < job.spec().tasks()) {
          // No record names the attempt: the task must not start elsewhere while it runs here.
          machine.addUnrecordedTask(job, index);
        }
      }
    }
    WithdrawalLog log = new WithdrawalLog(context, machine);
    for (TaskAttempt attempt : unlisted) {
      freed |= reconcileUnlisted(machine, attempt, heartbeat, log);
    }
    log.write();
    machine.taskList().setOtherBytes(otherBytes);
    return freed;
  }

  private boolean reconcileUnlisted(
      Machine machine, TaskAttempt attempt, WorkerHeartbeat heartbeat, WithdrawalLog log) {
    if (attempt.incarnation().compareTo(heartbeat.incarnation()) < 0) {
      jobs.abandon(attempt);
      return true;
    }
    if (!attempt.isCommitted() || !attempt.job().record().isClaimed()) {
      return false;
    }
    if (attempt.isListed()) {
      // A worker drops an attempt from its list only after a reap or in a new incarnation, and
      // neither applies here.
      context.error("task.vanished machine=%s task=%s", machine.name(), attempt.id());
      withdraw(attempt, WithdrawalReason.VANISHED, log);
      return false;
    }
    if (mayBeStartedByPendingCommand(machine, attempt)) {
      return false;
    }
    // A worker executes an answer completely or not at all, and it sent this heartbeat after all
    // earlier answers. So the attempt was never started, and if no further command may start it,
    // it never will be.
    Optional<WithdrawalReason> reason = withdrawalReason(machine, attempt);
    reason.ifPresent(reasonFound -> withdraw(attempt, reasonFound, log));
    return reason.isPresent();
  }

  private static boolean mayBeStartedByPendingCommand(Machine machine, TaskAttempt attempt) {
    return !machine.session().isConfirmed()
        || machine.session().tokens().hasPendingDirectStart(attempt.id());
  }

  /** Returns why no further command starts the attempt; empty if one may. */
  private Optional<WithdrawalReason> withdrawalReason(Machine machine, TaskAttempt attempt) {
    if (attempt.job().isCancelled()) {
      return Optional.of(WithdrawalReason.CANCELLED);
    }
    if (attempt.isRevoked()) {
      return Optional.of(WithdrawalReason.REVOKED);
    }
    if (machine.isLeaving()) {
      return Optional.of(WithdrawalReason.MACHINE_LEAVING);
    }
    if (machine.session().isUnresponsive()) {
      return Optional.of(WithdrawalReason.MACHINE_UNRESPONSIVE);
    }
    return quotaGuard.mustWithdraw(attempt.job())
        ? Optional.of(WithdrawalReason.TEAM_ABOVE_LIMIT)
        : Optional.empty();
  }

  private void withdraw(TaskAttempt attempt, WithdrawalReason reason, WithdrawalLog log) {
    if (reason == WithdrawalReason.CANCELLED) {
      // The record is marked as cancelled, so a later owner does not start the attempt either, and
      // its quota can be released at once.
      jobs.abandon(attempt);
    } else {
      jobs.withdraw(attempt);
    }
    log.add(attempt, reason);
  }

  private void recordObserved(Machine machine, TaskAttempt attempt, TaskStatus status) {
    MonotonicTime now = context.now();
    if (attempt.observe(status.state(), now)) {
      context.count("task.running");
      context.count("task.running.ms", now.since(attempt.placedAt()));
    }
    if (status.state() == TaskState.RUNNING) {
      machine.addImage(attempt.job().spec());
    } else if (status.state() == TaskState.EXITED) {
      recordExit(machine, attempt, status);
    }
  }

  private void recordExit(Machine machine, TaskAttempt attempt, TaskStatus status) {
    MonotonicTime now = context.now();
    Job job = attempt.job();
    switch (status.exitReason()) {
      case DONE -> {
        job.tasks().markDone(attempt.index());
        job.scheduling().recordSuccess();
        machine.health().recordSuccess();
      }
      case STOPPED -> {}
      case INSUFFICIENT_RESOURCES ->
          machine.health().pauseUntil(now.plus(INSUFFICIENT_RESOURCES_PAUSE_MS));
      case BUSY -> machine.health().pauseUntil(now.plus(BUSY_PAUSE_MS));
      case ERROR, UNKNOWN -> recordFailure(machine, job, status.exitReason());
    }
    jobs.detach(attempt);
    // A write that is in flight was sent before this exit was known; the next write records it.
    job.tasks().recordExit(status.attemptId(), job.record().nextSequence());
    job.requestWrite(WriteUrgency.LATER, now);
  }

  /**
   * Records a task's failure and attributes it to the job or to the machine: a job that fails on
   * many machines is itself at fault.
   */
  private void recordFailure(Machine machine, Job job, ExitReason reason) {
    MonotonicTime now = context.now();
    context.count("task.failed");
    boolean isJobAtFault = reason == ExitReason.UNKNOWN;
    if (job.scheduling().recordFailure(machine.name(), isJobAtFault, now)) {
      context.info(
          "job.held_back job=%s failed_machines=%d", job.id(), job.scheduling().failedMachines());
    } else if (machine.health().recordFailure(now)) {
      context.info("machine.quarantined machine=%s", machine.name());
      context.count("machine.quarantined");
    }
  }
}
