package shorecrank.coordination.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.Ids.AttemptNumber;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.JobSpec.Priority;
import shorecrank.protocol.WorkerMessages.TaskState;

/**
 * Preempts tasks of lower priority for jobs that are about to miss a start target, or that are
 * urgent and have no objective.
 */
public final class Preemption {
  /** The work that may be lost by preemption, as a fraction of the work of the started task. */
  private static final double MAX_LOST_WORK_RATIO = 0.5;

  /** A task is only preempted if it frees more than this fraction of what the other one needs. */
  private static final double MIN_FREED_FRACTION = 0.01;

  /** Lower bound of a task's estimated run, in seconds. */
  private static final double MIN_RUN_S = 1;

  /** Lower bound of a machine type's image fetch rate, in gigabytes per second. */
  private static final double MIN_FETCH_GB_PER_S = 0.01;

  /**
   * A start command reaches its worker within this many heartbeat intervals plus {@link
   * #COMMAND_MARGIN_S}.
   */
  private static final double COMMAND_HEARTBEAT_INTERVALS = 1.25;

  private static final double COMMAND_MARGIN_S = 2;

  /** The attempts to stop on one machine so that one task of another job fits there. */
  private record Victims(Machine machine, List<TaskAttempt> attempts) {
    static final Victims NONE = new Victims(null, List.of());

    boolean isEmpty() {
      return attempts.isEmpty();
    }

    /** Returns the work that is lost if the attempts are stopped, in processor seconds. */
    double lostWork(MonotonicTime now) {
      double lostWork = 0;
      for (TaskAttempt attempt : attempts) {
        lostWork += attempt.runSeconds(now) * attempt.job().spec().cpus();
      }
      return lostWork;
    }
  }

  private final StepContext context;
  private final ShardView shard;
  private final SchedulingQueue queue;

  /**
   * Creates the preemption of one shard.
   *
   * @param queue provides the service-level objectives
   */
  public Preemption(StepContext context, ShardView shard, SchedulingQueue queue) {
    this.context = context;
    this.shard = shard;
    this.queue = queue;
  }

  /**
   * Reports whether other tasks may be preempted for the job. A job without any target may preempt
   * if its priority is at least urgent. A job with a start target may preempt once the time left is
   * only just enough for the start command and the image fetch; before that, another task may still
   * end in time.
   */
  public boolean mayPreempt(Job job) {
    if (!queue.objectives().hasTargets(job.spec())) {
      return job.scheduling().priority().compareTo(Priority.URGENT) <= 0;
    }
    if (!queue.hasStartTarget(job.spec())) {
      return false;
    }
    double waitedS = job.readyForS(context.wallMs());
    double targetS = queue.objectives().nextStartTargetS(job.spec(), waitedS);
    if (targetS == Double.MAX_VALUE) {
      // All start targets are missed already, so preemption would gain nothing.
      return false;
    }
    double heartbeatS = context.config().workers().heartbeatIntervalS();
    return waitedS
        > targetS
            - longestFetchS(job.spec())
            - COMMAND_HEARTBEAT_INTERVALS * heartbeatS
            - COMMAND_MARGIN_S;
  }

  private double longestFetchS(JobSpec spec) {
    double longestS = 0;
    for (MachineType type : shard.catalog().values()) {
      double rate = Math.max(MIN_FETCH_GB_PER_S, type.fetchGbPerS());
      longestS = Math.max(longestS, spec.imageGb() / rate);
    }
    return longestS;
  }

  /**
   * Places tasks of the job by preempting tasks of lower priority, those first that lose the least
   * work. Preempts only tasks that exit immediately: one heartbeat answer holds the stop and then
   * the start, and the started task needs the resources at once.
   *
   * @param maxTasks the maximum number of tasks of the job to place
   * @param fromIndex the task index from which to search for free tasks
   * @param requiredZone the only zone in which the job's tasks may start; null for any
   * @return whether any task was placed
   */
  public boolean preemptFor(Job job, int maxTasks, int fromIndex, String requiredZone) {
    String zone = requiredZone;
    int index = fromIndex;
    int placed = 0;
    while (placed < maxTasks && job.record().hasRoomForRange()) {
      Victims victims = cheapestVictims(job, zone);
      if (victims.isEmpty()) {
        break;
      }
      index = job.tasks().nextFree(index);
      if (index < 0) {
        break;
      }
      stop(victims);
      place(job, index, victims.machine);
      placed++;
      if (job.spec().singleZone()) {
        zone = victims.machine.info().zone();
      }
    }
    return placed > 0;
  }

  private void stop(Victims victims) {
    for (TaskAttempt attempt : victims.attempts) {
      attempt.revoke();
      victims.machine.reassignCapacity(attempt);
    }
    context.count("task.preempted");
    for (TaskAttempt attempt : victims.attempts) {
      context.count("task.preempted.ms", (long) (attempt.runSeconds(context.now()) * 1000));
    }
  }

  private void place(Job job, int index, Machine machine) {
    AttemptNumber number = job.tasks().nextAttemptNumber();
    job.tasks().useAttemptNumber();
    job.record().recordPlacedRange();
    shard.attach(TaskAttempt.place(job, index, machine, number, context.now()));
  }

  /** Returns the victims with the lowest cost on all machines where the job may run. */
  private Victims cheapestVictims(Job job, String zone) {
    JobSpec spec = job.spec();
    MonotonicTime now = context.now();
    double heartbeatS = context.config().workers().heartbeatIntervalS();
    double maxLostWork = MAX_LOST_WORK_RATIO * spec.cpus() * Math.max(MIN_RUN_S, spec.estimateS());
    Victims best = Victims.NONE;
    double bestCost = Double.MAX_VALUE;
    for (Machine machine : shard.machines().values()) {
      if (!mayRunOn(machine, job, zone)) {
        continue;
      }
      Victims victims = victimsOn(machine, job);
      if (victims.isEmpty()) {
        continue;
      }
      double lostWork = victims.lostWork(now);
      double cost =
          machine.fetchSeconds(spec)
              + machine.session().secondsToNextAnswer(now, heartbeatS)
              + lostWork / spec.cpus();
      if (cost < bestCost && lostWork <= maxLostWork) {
        best = victims;
        bestCost = cost;
      }
    }
    return best;
  }

  /**
   * Reports whether a task of the job may start on the machine in place of others. Small tasks may
   * not: they lack space in the task list, which others leave only once they were reaped.
   */
  private boolean mayRunOn(Machine machine, Job job, String zone) {
    return shard.isUsable(machine)
        && !machine.isSmallTask(job.spec())
        && machine.isAllowedFor(job.spec())
        && !job.scheduling().hasFailedOn(machine.name())
        && (zone == null || zone.equals(machine.info().zone()));
  }

  /**
   * Returns the attempts of lower priority to stop on a machine, those first that have run for the
   * shortest time; {@link Victims#NONE} if that would not be enough for one task.
   */
  private Victims victimsOn(Machine machine, Job job) {
    List<TaskAttempt> candidates = new ArrayList<>();
    for (TaskAttempt attempt : machine.attempts()) {
      if (exitsImmediately(attempt)
          && freesEnough(attempt.job().spec(), job.spec())
          && attempt.job().scheduling().priority().compareTo(job.scheduling().priority()) > 0) {
        candidates.add(attempt);
      }
    }
    MonotonicTime now = context.now();
    candidates.sort(
        Comparator.<TaskAttempt>comparingDouble(attempt -> attempt.runSeconds(now))
            .thenComparingInt(TaskAttempt::index));
    double cpus = 0;
    double gpus = 0;
    double memoryGb = 0;
    for (int last = 0; last < candidates.size(); last++) {
      JobSpec spec = candidates.get(last).job().spec();
      cpus += spec.cpus();
      gpus += spec.gpus();
      memoryGb += spec.memoryGb();
      if (machine.fitsWith(job.spec(), cpus, gpus, memoryGb)) {
        return new Victims(machine, candidates.subList(0, last + 1));
      }
    }
    return Victims.NONE;
  }

  /** Reports whether stopping a task frees a part of the other's need that is worth its loss. */
  private static boolean freesEnough(JobSpec victim, JobSpec started) {
    return victim.cpus() > started.cpus() * MIN_FREED_FRACTION
        || victim.gpus() > started.gpus() * MIN_FREED_FRACTION
        || victim.memoryGb() > started.memoryGb() * MIN_FREED_FRACTION;
  }

  /** Reports whether the attempt can be stopped and exits without writing a checkpoint. */
  private static boolean exitsImmediately(TaskAttempt attempt) {
    return !attempt.isRevoked()
        && attempt.isCommitted()
        && attempt.job().record().isClaimed()
        && attempt.state() != TaskState.CHECKPOINTING
        && attempt.job().spec().checkpointIntervalS() <= 0;
  }
}
