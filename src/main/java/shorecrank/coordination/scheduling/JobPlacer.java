package shorecrank.coordination.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.model.TaskListSpace;
import shorecrank.coordination.model.WriteUrgency;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.AttemptNumber;
import shorecrank.protocol.JobSpec;

/** Places the queued tasks of one job on machines with free capacity, within its team's quota. */
final class JobPlacer {
  private final StepContext context;
  private final ShardView shard;
  private final Preemption preemption;

  JobPlacer(StepContext context, ShardView shard, Preemption preemption) {
    this.context = context;
    this.shard = shard;
    this.preemption = preemption;
  }

  /**
   * Places as many queued tasks of a job as possible, if necessary by preempting other tasks.
   *
   * @param available the machines to choose from; machines that become full are removed
   * @param attemptRoom the room for further attempts in the shard; reduced by those that are placed
   */
  void place(Job job, List<Machine> available, AttemptRoom attemptRoom) {
    Placement placement = new Placement(job, available, attemptRoom);
    placement.placeAll();
    placement.preempt();
    if (placement.hasPlaced) {
      job.requestWrite(WriteUrgency.NOW, context.now());
    }
  }

  /** Stands for the zone of a machine whose zone is not known yet. */
  private static final String UNKNOWN_ZONE = "";

  /** The placement of one job in one round. */
  private final class Placement {
    private final Job job;
    private final JobSpec spec;
    private final List<Machine> available;
    private final AttemptRoom attemptRoom;
    private List<Machine> candidates;
    private final Map<String, Integer> tasksByZone = new HashMap<>();

    /** The zone in which all tasks have to start; null for any. */
    private String requiredZone;

    private int tasksToPlace;

    /** The task index from which to search for the next free task. */
    private int fromIndex;

    private boolean hasPlaced;

    Placement(Job job, List<Machine> available, AttemptRoom attemptRoom) {
      this.job = job;
      this.spec = job.spec();
      this.available = available;
      this.attemptRoom = attemptRoom;
      this.tasksToPlace = queuedTasksToPlace();
      countTasksByZone();
      this.candidates = candidates();
    }

    private int queuedTasksToPlace() {
      int tasks = shard.headroom(spec.team()).queuedTasksThatFit(job);
      if (SchedulingQueue.isStarving(job, context.wallMs())) {
        tasks = Math.min(tasks, 1 + spec.tasks() / SchedulingQueue.STARVING_JOB_DIVISOR);
      }
      // A job that fails on every machine is tried with one task at a time.
      return job.scheduling().isBackingOff() ? Math.min(tasks, 1) : tasks;
    }

    private void countTasksByZone() {
      String lastZone = null;
      for (TaskAttempt attempt : job.tasks().attempts()) {
        Machine machine = attempt.machine();
        lastZone = machine.info() == null ? UNKNOWN_ZONE : machine.info().zone();
        tasksByZone.merge(lastZone, 1, Integer::sum);
      }
      requiredZone = spec.singleZone() ? lastZone : null;
    }

    /**
     * Returns the machines to choose from: those on which no task of the job has failed, or all
     * available ones if tasks have failed on each. Jobs that are spread over zones get a copy, from
     * which full zones are removed.
     */
    private List<Machine> candidates() {
      List<Machine> machines = available;
      if (job.scheduling().hasFailed()) {
        machines = new ArrayList<>(available);
        machines.removeIf(machine -> job.scheduling().hasFailedOn(machine.name()));
        if (machines.isEmpty()) {
          machines = available;
        }
      }
      return spec.spreadOverZones() ? new ArrayList<>(machines) : machines;
    }

    void placeAll() {
      while (tasksToPlace > 0 && job.record().hasRoomForRange() && !candidates.isEmpty()) {
        Machine machine =
            BinPacking.choose(
                new BinPacking.Request(
                    spec,
                    tasksToPlace,
                    requiredZone,
                    new BinPacking.Clock(
                        context.now(), context.config().workers().heartbeatIntervalS())),
                candidates,
                context.settings().placementSampleSize(),
                context.random());
        if (machine == null) {
          return;
        }
        int tasks = tasksFor(machine);
        if (!isRoomOn(machine)) {
          candidates = new ArrayList<>(candidates);
          candidates.removeIf(candidate -> !isRoomOn(candidate));
        } else if (tasks <= 0) {
          String fullZone = machine.info().zone();
          candidates.removeIf(candidate -> candidate.info().zone().equals(fullZone));
        } else if (!placeOn(machine, tasks)) {
          return;
        }
      }
    }

    /** Reports whether the shard's limits on attempts allow another one on the machine. */
    private boolean isRoomOn(Machine machine) {
      double smallTaskBytes = TaskListSpace.smallTaskBytes(spec, machine.type());
      return attemptRoom.fittingTasks(job, smallTaskBytes) > 0;
    }

    /**
     * Returns how many tasks to place on a machine; 0 or less if its zone has as many tasks of the
     * job as may be in one zone.
     */
    private int tasksFor(Machine machine) {
      int tasks = Math.min(tasksToPlace, machine.fittingTasks(spec));
      if (!spec.spreadOverZones()) {
        return tasks;
      }
      // A machine whose zone is not known yet may be in any.
      int inZone =
          tasksByZone.getOrDefault(machine.info().zone(), 0)
              + tasksByZone.getOrDefault(UNKNOWN_ZONE, 0);
      return Math.min(tasks, spec.maxTasksPerZone() - inZone);
    }

    private boolean placeOn(Machine machine, int maxTasks) {
      double smallTaskBytes = TaskListSpace.smallTaskBytes(spec, machine.type());
      int tasks = attach(machine, attemptRoom.take(job, maxTasks, smallTaskBytes));
      if (tasks == 0) {
        return false;
      }
      job.tasks().useAttemptNumber();
      job.record().recordPlacedRange();
      hasPlaced = true;
      tasksToPlace -= tasks;
      String machineZone = machine.info().zone();
      tasksByZone.merge(machineZone, tasks, Integer::sum);
      if (spec.singleZone()) {
        requiredZone = machineZone;
      }
      if (!machine.hasFreeCpus()) {
        available.remove(machine);
        if (candidates != available) {
          candidates.remove(machine);
        }
      }
      return true;
    }

    private int attach(Machine machine, int maxTasks) {
      AttemptNumber number = job.tasks().nextAttemptNumber();
      for (int tasks = 0; tasks < maxTasks; tasks++) {
        fromIndex = job.tasks().nextFree(fromIndex);
        if (fromIndex < 0) {
          return tasks;
        }
        shard.attach(TaskAttempt.place(job, fromIndex, machine, number, context.now()));
      }
      return maxTasks;
    }

    void preempt() {
      if (tasksToPlace > 0
          && !spec.spreadOverZones()
          && !job.scheduling().isBackingOff()
          && preemption.mayPreempt(job)) {
        hasPlaced |= preemption.preemptFor(job, tasksToPlace, fromIndex, requiredZone);
      }
    }
  }
}
