package shorecrank.coordination.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.model.WriteUrgency;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.AttemptNumber;
import shorecrank.protocol.JobSpec;

/** Places the queued tasks of one job on machines with room, within its team's quota. */
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
   * Places as many tasks of a job as there is room for, if need be by preempting others.
   *
   * @param room the machines to choose from; those that are full now are removed
   */
  void place(Job job, List<Machine> room) {
    Placement placement = new Placement(job, room);
    placement.placeAll();
    placement.preempt();
    if (placement.placed) {
      job.requestWrite(WriteUrgency.NOW, context.now());
    }
  }

  /** The placement of one job in one round. */
  private final class Placement {
    private final Job job;
    private final JobSpec spec;
    private final List<Machine> room;
    private final List<Machine> candidates;
    private final Map<String, Integer> tasksByZone = new HashMap<>();

    /** Where all tasks have to go; null if any zone will do. */
    private String zone;

    private int wanted;

    /** The task that was placed last. */
    private int index;

    private boolean placed;

    Placement(Job job, List<Machine> room) {
      this.job = job;
      this.spec = job.spec();
      this.room = room;
      this.wanted = wantedTasks();
      countZones();
      this.candidates = candidates();
    }

    private int wantedTasks() {
      int tasks = shard.headroom(spec.team()).queuedTasksThatFit(job);
      if (SchedulingQueue.isOverdue(job, context.wallMs())) {
        tasks = Math.min(tasks, 1 + spec.tasks() / SchedulingQueue.OVERDUE_FRACTION);
      }
      // Of a job that fails wherever it is started, one task is tried at a time.
      return job.scheduling().isBackingOff() ? Math.min(tasks, 1) : tasks;
    }

    private void countZones() {
      String last = null;
      for (TaskAttempt attempt : job.tasks().attempts()) {
        Machine machine = attempt.machine();
        last = machine.info() == null ? "" : machine.info().zone();
        tasksByZone.merge(last, 1, Integer::sum);
      }
      zone = spec.singleZone() ? last : null;
    }

    /** The machines with room, but those where the job has failed if there are others. */
    private List<Machine> candidates() {
      List<Machine> machines = room;
      if (job.scheduling().hasFailed()) {
        machines = new ArrayList<>(room);
        machines.removeIf(machine -> job.scheduling().hasFailedOn(machine.name()));
        if (machines.isEmpty()) {
          machines = room;
        }
      }
      return spec.spreadOverZones() ? new ArrayList<>(machines) : machines;
    }

    void placeAll() {
      while (wanted > 0 && job.record().hasRoomForRange() && !candidates.isEmpty()) {
        Machine machine =
            BinPacking.choose(
                new BinPacking.Request(
                    spec,
                    wanted,
                    zone,
                    new BinPacking.Clock(context.now(), context.config().workers().reportS())),
                candidates,
                context.settings().sampleSize(),
                context.random());
        if (machine == null) {
          return;
        }
        int tasks = tasksFor(machine);
        if (tasks <= 0) {
          String fullZone = machine.info().zone();
          candidates.removeIf(candidate -> candidate.info().zone().equals(fullZone));
        } else if (!placeOn(machine, tasks)) {
          return;
        }
      }
    }

    /** How many tasks go to a machine; 0 if its zone has as many as the job allows. */
    private int tasksFor(Machine machine) {
      int tasks = Math.min(wanted, machine.fittingTasks(spec));
      if (!spec.spreadOverZones()) {
        return tasks;
      }
      int left = spec.maxTasksPerZone() - tasksByZone.getOrDefault(machine.info().zone(), 0);
      return Math.min(tasks, left);
    }

    private boolean placeOn(Machine machine, int most) {
      int tasks = attach(machine, most);
      if (tasks == 0) {
        return false;
      }
      job.tasks().takeAttemptNumber();
      job.record().recordPlacedRange();
      placed = true;
      wanted -= tasks;
      String machineZone = machine.info().zone();
      tasksByZone.merge(machineZone, tasks, Integer::sum);
      if (spec.singleZone()) {
        zone = machineZone;
      }
      if (!machine.hasFreeCpus()) {
        room.remove(machine);
        if (candidates != room) {
          candidates.remove(machine);
        }
      }
      return true;
    }

    private int attach(Machine machine, int most) {
      AttemptNumber number = job.tasks().nextAttemptNumber();
      for (int tasks = 0; tasks < most; tasks++) {
        index = job.tasks().nextFree(index);
        if (index < 0) {
          return tasks;
        }
        shard.attach(TaskAttempt.place(job, index, machine, number, context.now()));
      }
      return most;
    }

    void preempt() {
      if (wanted > 0
          && !spec.spreadOverZones()
          && !job.scheduling().isBackingOff()
          && preemption.mayPreempt(job)) {
        placed |= preemption.makeRoom(job, wanted, index, zone);
      }
    }
  }
}
