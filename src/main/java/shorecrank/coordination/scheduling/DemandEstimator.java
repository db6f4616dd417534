package shorecrank.coordination.scheduling;

import java.util.List;
import java.util.Map;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.JobSpec;

/** Converts queued tasks into the processors that they need, and free room into those they use. */
final class DemandEstimator {
  /** Stands in for an amount of 0 in a divisor. */
  private static final double EPSILON = 1e-9;

  /** Shortest run that an owner's estimate is taken for, in seconds. */
  private static final double SHORTEST_RUN_S = 1;

  private final StepContext context;
  private final ShardView shard;

  DemandEstimator(StepContext context, ShardView shard) {
    this.context = context;
    this.shard = shard;
  }

  /** Processors that would clear a job's queue within the time that operators have set. */
  double cpusToClear(QueuedDemand demand) {
    Job job = demand.job();
    int tasks = demand.tasks();
    double runS = Math.max(SHORTEST_RUN_S, job.spec().estimateS());
    double parallel = Math.min(tasks, Math.ceil(tasks * runS / context.settings().clearS()));
    return parallel * cpuEquivalent(job.spec(), shard.catalog());
  }

  /**
   * Processors of a machine that queued jobs can use. What is free is not always of use: a task may
   * need more memory, or more processors, than any machine has left.
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
   * A task's share of the machine type that it takes the least of, in processors; its memory or
   * accelerators may be what counts. Its own processors if it fits no type.
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
    return best == Double.MAX_VALUE ? spec.cpus() : best;
  }
}
