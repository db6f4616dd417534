package shorecrank.coordination.scheduling;

import java.util.List;
import java.util.Map;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.TaskListSpace;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.JobSpec;

/** Estimates the processors that queued tasks need, and those of a machine that they can use. */
final class DemandEstimator {
  /** Lower bound of divisors, to avoid a division by 0. */
  private static final double EPSILON = 1e-9;

  /** Lower bound of a task's estimated run, in seconds. */
  private static final double MIN_RUN_S = 1;

  private final StepContext context;
  private final ShardView shard;

  DemandEstimator(StepContext context, ShardView shard) {
    this.context = context;
    this.shard = shard;
  }

  /**
   * Returns the processors that would clear a job's queued tasks within the setting {@code
   * clear_s}.
   */
  double cpusToClear(QueuedDemand demand) {
    Job job = demand.job();
    int tasks = demand.tasks();
    double runS = Math.max(MIN_RUN_S, job.spec().estimateS());
    double parallel =
        Math.min(tasks, Math.ceil(tasks * runS / context.settings().queueClearingS()));
    return parallel * cpuEquivalent(job.spec(), shard.catalog());
  }

  /**
   * Returns the processors of a machine that queued jobs can use. These can be fewer than the free
   * ones, since a task may need more memory or processors than the machine has left.
   */
  double usableCpus(List<QueuedDemand> demands, Machine machine) {
    double best = 0;
    if (machine.hasFreeCpus()) {
      for (QueuedDemand demand : demands) {
        JobSpec spec = demand.job().spec();
        int tasks = Math.min(machine.fittingTasks(spec), demand.tasks());
        if (tasks > 0 && machine.isAllowedFor(spec)) {
          best = Math.max(best, tasks * cpuEquivalent(spec, shard.catalog()));
        }
      }
    }
    return best;
  }

  /**
   * Returns the processors that a task occupies, on the machine type where they are the fewest. A
   * task that needs much of a type's memory or accelerators occupies the same fraction of its
   * processors, and so does a small task that needs much of the task list. If the task fits no
   * type, returns the processors that it asks for.
   */
  static double cpuEquivalent(JobSpec spec, Map<String, MachineType> catalog) {
    double best = Double.MAX_VALUE;
    for (MachineType type : catalog.values()) {
      double share = spec.cpus() / type.cpus();
      share = Math.max(share, spec.memoryGb() / Math.max(EPSILON, type.memoryGb()));
      if (spec.gpus() > 0) {
        share = Math.max(share, spec.gpus() / Math.max(EPSILON, type.gpus()));
      }
      if (share <= 1) {
        best = Math.min(best, share * type.cpus());
      }
    }
    double cpus = best == Double.MAX_VALUE ? spec.cpus() : best;
    return Math.max(cpus, TaskListSpace.occupiedCpus(spec, catalog));
  }
}
