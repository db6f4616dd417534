package shorecrank.coordination.shard;

import java.util.Collection;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.model.WorkerLiveness;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.WorkerMessages.TaskState;

/** What a part's processors do: where time goes while jobs wait. */
final class UtilizationGauges {
  private UtilizationGauges() {}

  static void tell(
      StepContext context,
      Collection<Machine> hosts,
      Collection<Job> jobs,
      WorkerLiveness liveness) {
    double there = 0;
    double commanded = 0;
    double pulling = 0;
    double running = 0;
    double taken = 0;
    for (Machine h : hosts) {
      if (h.type() == null || !liveness.fresh(h)) {
        continue;
      }
      there += h.type().cpus();
      taken += h.usedCpus();
      for (TaskAttempt t : h.attempts()) {
        double cpus = t.job().spec.cpus();
        if (t.state() == null) {
          commanded += cpus;
        } else if (t.state() == TaskState.PULLING) {
          pulling += cpus;
        } else {
          running += cpus;
        }
      }
    }
    double waiting = 0;
    for (Job j : jobs) {
      waiting += j.queued() * j.spec.cpus();
    }
    context.gauge("cpus.heard", there);
    context.gauge("cpus.taken", taken);
    context.gauge("cpus.commanded", commanded);
    context.gauge("cpus.pulling", pulling);
    context.gauge("cpus.running", running);
    context.gauge("cpus.waited_for", waiting);
  }
}
