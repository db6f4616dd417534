package shorecrank.coordination.shard;

import java.util.LinkedHashMap;
import java.util.Map;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.step.StepContext;

/**
 * Logs the attempts that are withdrawn on one heartbeat of one machine, one line per job and
 * reason.
 */
final class WithdrawalLog {
  /** The job and reason of the withdrawn attempts that one log line counts. */
  private record Withdrawal(Job job, WithdrawalReason reason) {}

  private final StepContext context;
  private final Machine machine;
  private final Map<Withdrawal, Integer> counts = new LinkedHashMap<>();

  WithdrawalLog(StepContext context, Machine machine) {
    this.context = context;
    this.machine = machine;
  }

  /** Adds a withdrawn attempt. */
  void add(TaskAttempt attempt, WithdrawalReason reason) {
    counts.merge(new Withdrawal(attempt.job(), reason), 1, Integer::sum);
  }

  /** Writes the log lines. */
  void write() {
    counts.forEach(this::write);
  }

  private void write(Withdrawal withdrawal, int tasks) {
    Job job = withdrawal.job;
    context.count("task.withdrawn", tasks);
    context.infoLimited(
        "task.withdrawn",
        "job=%s team=%s tasks=%d machine=%s incarnation=%d heartbeat=%d reason=%s named_at=%s",
        job.id(),
        job.spec().team(),
        tasks,
        machine.name(),
        machine.session().incarnation().value(),
        machine.session().sequence(),
        withdrawal.reason.logName(),
        job.record().revision());
  }
}
