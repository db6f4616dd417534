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

/** Stops tasks of lower priority for jobs whose users wait for the start. */
public final class Preemption {
  /** Others' work that may be thrown away for a task, as a share of its own. */
  private static final double WORTH = 0.5;

  /** Shortest run, in seconds, that an owner's estimate is taken for. */
  private static final double SHORTEST_RUN_S = 1;

  /** The least fetch rate that is believed, in gigabytes per second. */
  private static final double LEAST_FETCH_GB_PER_S = 0.01;

  /** Heartbeat intervals, and beside them seconds, that a start command takes at the most. */
  private static final double COMMAND_HEARTBEATS = 1.25;

  private static final double COMMAND_MARGIN_S = 2;

  /** Tasks on one machine whose end makes room for one task; none if there are none such. */
  private record Victims(Machine machine, List<TaskAttempt> attempts) {
    static final Victims NONE = new Victims(null, List.of());

    boolean isEmpty() {
      return attempts.isEmpty();
    }

    /** Processor seconds of work that are lost with them. */
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

  /** Preemption by the objectives that {@code queue} follows. */
  public Preemption(StepContext context, ShardView shard, SchedulingQueue queue) {
    this.context = context;
    this.shard = shard;
    this.queue = queue;
  }

  /**
   * Whether others may be stopped for the job. Where users wait for its start, it does not wait for
   * others' ends; but while its objective leaves time for the command and the image, room may yet
   * come free by itself.
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
      // Too late to start in time: nothing is won by what others would lose.
      return false;
    }
    double heartbeatS = context.config().workers().reportS();
    return waitedS
        > targetS - longestFetchS(job.spec()) - COMMAND_HEARTBEATS * heartbeatS - COMMAND_MARGIN_S;
  }

  private double longestFetchS(JobSpec spec) {
    double longestS = 0;
    for (MachineType type : shard.catalog().values()) {
      double rate = Math.max(LEAST_FETCH_GB_PER_S, type.fetchGbPerS());
      longestS = Math.max(longestS, spec.imageGb() / rate);
    }
    return longestS;
  }

  /**
   * Makes room by stopping tasks of lower priority that lose the least by it. Only such as exit at
   * once when stopped: the stop goes before the start in one answer, and so the start finds room.
   *
   * @param wanted how many tasks of the job should start
   * @param fromIndex the task to begin with
   * @param onlyZone the only zone where they may start; null for any
   * @return whether any task was placed
   */
  public boolean makeRoom(Job job, int wanted, int fromIndex, String onlyZone) {
    String zone = onlyZone;
    int index = fromIndex;
    int placed = 0;
    while (placed < wanted && job.record().hasRoomForRange()) {
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
      victims.machine.reassignRoom(attempt);
    }
    context.count("task.preempted");
    for (TaskAttempt attempt : victims.attempts) {
      context.count("task.preempted.ms", (long) (attempt.runSeconds(context.now()) * 1000));
    }
  }

  private void place(Job job, int index, Machine machine) {
    AttemptNumber number = job.tasks().nextAttemptNumber();
    job.tasks().takeAttemptNumber();
    job.record().recordPlacedRange();
    shard.attach(TaskAttempt.place(job, index, machine, number, context.now()));
  }

  /** The tasks whose stop costs the least, over all machines where the job may run. */
  private Victims cheapestVictims(Job job, String zone) {
    JobSpec spec = job.spec();
    MonotonicTime now = context.now();
    double heartbeatS = context.config().workers().reportS();
    double mostLostWork = WORTH * spec.cpus() * Math.max(SHORTEST_RUN_S, spec.estimateS());
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
      if (cost < bestCost && lostWork <= mostLostWork) {
        best = victims;
        bestCost = cost;
      }
    }
    return best;
  }

  private boolean mayRunOn(Machine machine, Job job, String zone) {
    return shard.isUsable(machine)
        && machine.isAllowedFor(job.spec())
        && !job.scheduling().hasFailedOn(machine.name())
        && (zone == null || zone.equals(machine.info().zone()));
  }

  /** The tasks of lower priority that have run the shortest and make room for one task. */
  private Victims victimsOn(Machine machine, Job job) {
    List<TaskAttempt> candidates = new ArrayList<>();
    for (TaskAttempt attempt : machine.attempts()) {
      if (exitsAtOnce(attempt)
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
    for (int taken = 0; taken < candidates.size(); taken++) {
      JobSpec spec = candidates.get(taken).job().spec();
      cpus += spec.cpus();
      gpus += spec.gpus();
      memoryGb += spec.memoryGb();
      if (machine.fitsWith(job.spec(), cpus, gpus, memoryGb)) {
        return new Victims(machine, candidates.subList(0, taken + 1));
      }
    }
    return Victims.NONE;
  }

  /** Whether the task can be stopped and saves no progress before it exits. */
  private static boolean exitsAtOnce(TaskAttempt attempt) {
    return !attempt.isRevoked()
        && attempt.isCommitted()
        && attempt.job().record().isClaimed()
        && attempt.state() != TaskState.CHECKPOINTING
        && attempt.job().spec().checkpointIntervalS() <= 0;
  }
}
