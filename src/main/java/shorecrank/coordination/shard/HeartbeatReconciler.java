package shorecrank.coordination.shard;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.model.WriteUrgency;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.WorkerMessages.ExitReason;
import shorecrank.protocol.WorkerMessages.TaskState;
import shorecrank.protocol.WorkerMessages.TaskStatus;
import shorecrank.protocol.WorkerMessages.WorkerHeartbeat;

/** Squares what a worker's heartbeat lists with what the records of the shard say. */
final class HeartbeatReconciler {
  /** A machine that has no room left for a task gets nothing for so long. */
  private static final long INSUFFICIENT_RESOURCES_PAUSE_MS = 2000;

  /** A machine that is too busy for a task gets nothing for so long. */
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
   * Takes in what a heartbeat lists, and what it does not list.
   *
   * @return whether room has come free on the machine
   */
  boolean reconcile(Machine machine, WorkerHeartbeat heartbeat) {
    boolean freed = false;
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
      } else if (!hasExited && job != null && index < job.spec().tasks()) {
        // An attempt that no record names: nothing of that task starts elsewhere meanwhile.
        machine.addUnrecordedTask(job, index);
      }
    }
    WithdrawalLog log = new WithdrawalLog(context, machine);
    for (TaskAttempt attempt : unlisted) {
      freed |= reconcileUnlisted(machine, attempt, heartbeat, log);
    }
    log.write();
    return freed;
  }

  private boolean reconcileUnlisted(
      Machine machine, TaskAttempt attempt, WorkerHeartbeat heartbeat, WithdrawalLog log) {
    if (attempt.incarnation().compareTo(heartbeat.incarnation()) < 0) {
      jobs.lose(attempt);
      return true;
    }
    if (!attempt.isCommitted() || !attempt.job().record().isClaimed()) {
      return false;
    }
    if (attempt.isListed()) {
      // It left the list without a reap: only a new incarnation does that.
      context.error("task.vanished machine=%s task=%s", machine.name(), attempt.id());
      withdraw(attempt, WithdrawalReason.VANISHED, log);
      return false;
    }
    if (mayBeStartedByPendingCommand(machine, attempt)) {
      return false;
    }
    // The worker executes what an answer says or drops it whole, and this heartbeat is younger
    // than all earlier answers: what it does not list was never started, and never will be if
    // nothing is to start it.
    Optional<WithdrawalReason> reason = withdrawalReason(machine, attempt);
    reason.ifPresent(reasonFound -> withdraw(attempt, reasonFound, log));
    return reason.isPresent();
  }

  private static boolean mayBeStartedByPendingCommand(Machine machine, TaskAttempt attempt) {
    return !machine.session().isConfirmed()
        || machine.session().tokens().hasPendingDirectStart(attempt.id());
  }

  /** Why no command that is to come starts the attempt; empty if one may. */
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
      // The mark of the cancellation is in the record: no later owner starts it either.
      jobs.lose(attempt);
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
        job.scheduling().taskSucceeded();
        machine.health().taskSucceeded();
      }
      case STOPPED -> {}
      case INSUFFICIENT_RESOURCES ->
          machine.health().pauseUntil(now.plus(INSUFFICIENT_RESOURCES_PAUSE_MS));
      case BUSY -> machine.health().pauseUntil(now.plus(BUSY_PAUSE_MS));
      case ERROR, UNKNOWN -> recordFailure(machine, job, status.exitReason());
    }
    jobs.detach(attempt);
    // The write in flight does not hold this exit; the one after it will.
    job.tasks().recordExit(status.attemptId(), job.record().nextSequence());
    job.requestWrite(WriteUrgency.LATER, now);
  }

  /** Tells faulty machines from faulty jobs: a job that fails on many machines is at fault. */
  private void recordFailure(Machine machine, Job job, ExitReason reason) {
    MonotonicTime now = context.now();
    context.count("task.failed");
    boolean isJobAtFault = reason == ExitReason.UNKNOWN;
    if (job.scheduling().taskFailed(machine.name(), isJobAtFault, now)) {
      context.info(
          "job.held_back job=%s failed_machines=%d", job.id(), job.scheduling().failedMachines());
    } else if (machine.health().taskFailed(now)) {
      context.info("machine.quarantined machine=%s", machine.name());
      context.count("machine.quarantined");
    }
  }
}
