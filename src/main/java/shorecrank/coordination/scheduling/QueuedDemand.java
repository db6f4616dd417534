package shorecrank.coordination.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.TeamQuotas.Headroom;

/**
 * The queued tasks of one job that wait for machines.
 *
 * @param tasks the number of these tasks, at least 1; without those that wait for their team's
 *     quota, which need no machine
 */
public record QueuedDemand(Job job, int tasks) {
  /** Returns the demand of all queued jobs of a shard, in the order of its jobs. */
  public static List<QueuedDemand> of(ShardView shard) {
    List<QueuedDemand> demands = new ArrayList<>();
    Map<String, Headroom> headrooms = new HashMap<>();
    for (Job job : shard.jobs().values()) {
      if (job.queuedTaskCount() == 0 || job.scheduling().isBackingOff()) {
        continue;
      }
      Headroom headroom = headrooms.computeIfAbsent(job.spec().team(), shard::headroom);
      int tasks = headroom.queuedTasksThatFit(job);
      if (tasks > 0) {
        demands.add(new QueuedDemand(job, tasks));
        headroom.subtract(job.spec(), tasks);
      }
    }
    return demands;
  }

  /** Returns the processors that the tasks need if all of them run at once. */
  public double cpus() {
    return tasks * job.spec().cpus();
  }
}
