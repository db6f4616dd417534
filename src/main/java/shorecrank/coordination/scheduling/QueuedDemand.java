package shorecrank.coordination.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.TaskListSpace;
import shorecrank.coordination.model.TeamQuotas.Headroom;

/**
 * The queued tasks of one job that wait for machines.
 *
 * @param tasks the number of these tasks, at least 1; without those that wait for their team's
 *     quota or for room under the shard's limit on attempts, which need no machine
 * @param cpusEach the processors that each task occupies: those that it asks for, or for a small
 *     task the fraction of a machine's that it takes of the task list, if that is more
 */
public record QueuedDemand(Job job, int tasks, double cpusEach) {
  /** Returns the demand of all queued jobs of a shard, in the order of its jobs. */
  public static List<QueuedDemand> of(ShardView shard) {
    List<QueuedDemand> demands = new ArrayList<>();
    Map<String, Headroom> headrooms = new HashMap<>();
    AttemptRoom attemptRoom = shard.attemptRoom();
    for (Job job : shard.jobs().values()) {
      if (job.queuedTaskCount() == 0 || job.scheduling().isBackingOff()) {
        continue;
      }
      Headroom headroom = headrooms.computeIfAbsent(job.spec().team(), shard::headroom);
      double smallTaskBytes = TaskListSpace.fewestSmallTaskBytes(job.spec(), shard.catalog());
      int tasks = attemptRoom.take(job, headroom.queuedTasksThatFit(job), smallTaskBytes);
      if (tasks > 0) {
        double occupiedCpus = TaskListSpace.occupiedCpus(job.spec(), shard.catalog());
        demands.add(new QueuedDemand(job, tasks, Math.max(job.spec().cpus(), occupiedCpus)));
        headroom.subtract(job.spec(), tasks);
      }
    }
    return demands;
  }

  /** Returns the processors that the tasks need if all of them run at once. */
  public double cpus() {
    return tasks * cpusEach;
  }
}
