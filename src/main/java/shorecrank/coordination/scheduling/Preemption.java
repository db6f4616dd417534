package shorecrank.coordination.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import shorecrank.config.NodeConfig;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.Ids.AttemptNumber;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.WorkerMessages.TaskState;

/** Stops tasks of lower priority for jobs whose users wait for the start. */
public final class Preemption {
  /** Others' work that may be thrown away for a task, as a share of its own. */
  private static final double WORTH = 0.5;

  private final StepContext context;
  private final ShardView owner;
  private final SchedulingQueue queue;

  public Preemption(StepContext context, ShardView owner, SchedulingQueue queue) {
    this.context = context;
    this.owner = owner;
    this.queue = queue;
  }

  /**
   * Users wait for the start of such a job, so it does not wait for others' ends; but while its aim
   * leaves time for the command and the image, room may yet come free by itself.
   */
  public boolean wanted(Job j) {
    if (queue.hasAims(j.spec()) && !queue.waitsForStart(j.spec())) {
      return false;
    }
    if (!queue.hasAims(j.spec())) {
      return j.scheduling().priority().compareTo(JobSpec.Priority.URGENT) <= 0;
    }
    double aim = Double.MAX_VALUE;
    double age = j.readyS(context.wallMs());
    for (NodeConfig.Objective o : context.config.objectives()) {
      if (o.kind().equals("wait")
          && o.jobClass().equals(j.spec().jobClass())
          && o.withinS() > age) {
        aim = Math.min(aim, o.withinS());
      }
    }
    if (aim == Double.MAX_VALUE) {
      // Too late to start in time: nothing is won by what others would lose.
      return false;
    }
    double fetch = 0;
    for (MachineType t : owner.catalog().values()) {
      fetch = Math.max(fetch, j.spec().imageGb() / Math.max(0.01, t.fetchGbPerS()));
    }
    return age > aim - fetch - 1.25 * context.config.workers().reportS() - 2;
  }

  /**
   * Makes room by stopping tasks of lower priority that lose the least by it. Only such as exit at
   * once when stopped: the stop goes before the start in one answer, and so the start finds room.
   */
  public boolean makeRoom(Job j, int wanted, int from, String onlyZone) {
    boolean placed = false;
    String zone = onlyZone;
    int index = from;
    double mayCost = WORTH * j.spec().cpus() * Math.max(1, j.spec().estimateS());
    while (wanted > 0 && j.record().hasRoomForRange()) {
      Machine best = null;
      List<TaskAttempt> victims = List.of();
      double bestCost = Double.MAX_VALUE;
      for (Machine h : owner.machines().values()) {
        if (!owner.usable(h)
            || !h.isAllowedFor(j.spec())
            || j.scheduling().hasFailedOn(h.name())
            || (zone != null && !zone.equals(h.info().zone()))) {
          continue;
        }
        List<TaskAttempt> v = victims(h, j);
        if (v.isEmpty()) {
          continue;
        }
        double thrownAway = 0;
        for (TaskAttempt t : v) {
          thrownAway += t.runSeconds(context.now()) * t.job().spec().cpus();
        }
        double c =
            h.fetchSeconds(j.spec())
                + h.session().secondsToNextAnswer(context.now(), context.config.workers().reportS())
                + thrownAway / j.spec().cpus();
        if (c < bestCost && thrownAway <= mayCost) {
          best = h;
          bestCost = c;
          victims = v;
        }
      }
      if (best == null) {
        return placed;
      }
      index = j.tasks().nextFree(index);
      if (index < 0) {
        return placed;
      }
      for (TaskAttempt t : victims) {
        t.revoke();
        best.reassignRoom(t);
      }
      context.count("task.preempted");
      victims.forEach(
          t -> context.count("task.preempted.ms", (long) (t.runSeconds(context.now()) * 1000)));
      AttemptNumber attempt = j.tasks().nextAttemptNumber();
      j.tasks().takeAttemptNumber();
      j.record().takeRange();
      owner.attach(
          new TaskAttempt(
              j,
              index,
              best,
              best.session().incarnation(),
              attempt,
              j.record().nextSequence(),
              context.now()));
      placed = true;
      wanted--;
      if (j.spec().oneZone()) {
        zone = best.info().zone();
      }
    }
    return placed;
  }

  /** The cheapest tasks of lower priority whose end makes room for one task; empty if none do. */
  private List<TaskAttempt> victims(Machine h, Job j) {
    List<TaskAttempt> can = new ArrayList<>();
    for (TaskAttempt t : h.attempts()) {
      if (!t.isRevoked()
          && t.isCommitted()
          && t.job().record().isClaimed()
          && t.state() != TaskState.FLUSHING
          && t.job().spec().checkpointS() <= 0
          && t.job().scheduling().priority().compareTo(j.scheduling().priority()) > 0) {
        can.add(t);
      }
    }
    MonotonicTime now = context.now();
    can.sort(
        Comparator.<TaskAttempt>comparingDouble(t -> t.runSeconds(now))
            .thenComparingInt(t -> t.index()));
    List<TaskAttempt> take = new ArrayList<>();
    double cpus = 0;
    double gpus = 0;
    double memory = 0;
    for (TaskAttempt t : can) {
      take.add(t);
      cpus += t.job().spec().cpus();
      gpus += t.job().spec().gpus();
      memory += t.job().spec().memoryGb();
      if (h.fitsWith(j.spec(), cpus, gpus, memory)) {
        return take;
      }
    }
    return List.of();
  }
}
