package shorecrank.coordination.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.TeamQuotas;
import shorecrank.coordination.step.Input.RoundBudget;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MonotonicTime;

/**
 * Places the queued tasks of a shard's jobs, round by round: jobs in the order of the scheduling
 * queue, each where it fits best. A round that runs out of time goes on where it stopped.
 */
public final class PlacementRound {
  /** With less time left than this a job does not wait for a machine that holds its image. */
  private static final double URGENT_S = 3;

  /** So many jobs after the urgent ones may go before others where their image is. */
  private static final int JOBS_PLACED_BY_IMAGE = 8;

  private static final double MS_PER_S = 1000.0;

  private final StepContext context;
  private final ShardView shard;
  private final TeamQuotas quotas;
  private final SchedulingQueue queue;
  private final Preemption preemption;
  private final JobPlacer placer;

  /** Machines with free processors, so that a round in a full fleet looks at few. */
  private final Set<Machine> withRoom;

  /** The job at which the last round ran out of time; null if it came to its end. */
  private JobId resumeAt;

  /**
   * @param withRoom a live view of the machines with free processors
   */
  public PlacementRound(
      StepContext context,
      ShardView shard,
      TeamQuotas quotas,
      SchedulingQueue queue,
      Set<Machine> withRoom) {
    this.context = context;
    this.shard = shard;
    this.quotas = quotas;
    this.queue = queue;
    this.withRoom = withRoom;
    this.preemption = new Preemption(context, shard, queue);
    this.placer = new JobPlacer(context, shard, preemption);
  }

  /** Places what waits, as far as the round's time allows. */
  public void run(RoundBudget budget) {
    context.count("round.looks", shard.jobs().size());
    List<Job> waiting = waitingJobs();
    if (waiting.isEmpty()) {
      return;
    }
    List<Machine> room = new ArrayList<>();
    List<Machine> draining = new ArrayList<>();
    context.count("round.looks", withRoom.size());
    for (Machine machine : withRoom) {
      if (machine.acceptsTasks(context.now()) && shard.liveness().isFresh(machine)) {
        (machine.isDraining() ? draining : room).add(machine);
      }
    }
    // In a full fleet nobody needs an order, unless there is a job that preempts others.
    if (room.isEmpty()
        && draining.isEmpty()
        && waiting.stream().noneMatch(preemption::mayPreempt)) {
      return;
    }
    placeAll(ordered(waiting), room, draining, budget);
  }

  private List<Job> waitingJobs() {
    List<Job> waiting = new ArrayList<>();
    MonotonicTime now = context.now();
    for (Job job : shard.jobs().values()) {
      if (job.queuedTaskCount() > 0
          && job.record().canAcceptPlacement()
          && job.scheduling().isPauseOver(now)) {
        waiting.add(job);
      }
    }
    return waiting;
  }

  // ---- order -----------------------------------------------------------------------------------

  private List<Job> ordered(List<Job> waiting) {
    if (waiting.size() < 2) {
      return waiting;
    }
    double cpus = 0;
    double soonCpus = 0;
    double soonWeightedS = 0;
    double fetchGbPerS = 0;
    for (Machine machine : shard.machines().values()) {
      MachineType type = machine.type();
      if (type == null || !machine.assignment().isAssigned() || machine.isLeaving()) {
        continue;
      }
      if (machine.session().hasConfirmedHeartbeat()) {
        cpus += type.cpus();
        fetchGbPerS += type.cpus() * type.fetchGbPerS();
      } else {
        soonCpus += type.cpus();
        double ageS = context.now().since(machine.assignment().since()) / MS_PER_S;
        soonWeightedS += type.cpus() * Math.max(1, type.bootS() - ageS);
      }
    }
    double busyWork = 0;
    for (Job job : shard.jobs().values()) {
      busyWork += job.tasks().attemptCount() * job.spec().cpus() * job.spec().estimateS() / 2;
    }
    queue.updateUrgency(shard.jobs().values());
    return queue.sort(
        waiting,
        new FleetCapacity(
            fetchGbPerS / Math.max(1, cpus),
            cpus,
            soonCpus,
            soonWeightedS / Math.max(1, soonCpus),
            busyWork));
  }

  // ---- placement -------------------------------------------------------------------------------

  private void placeAll(
      List<Job> ordered, List<Machine> room, List<Machine> draining, RoundBudget budget) {
    int start = resumeIndex(ordered);
    resumeAt = null;
    boolean useKnown = isUseKnown();
    if (start < 0) {
      start = placeUrgent(ordered, room, useKnown, budget);
    }
    for (int i = start; i < ordered.size(); i++) {
      if (budget.isExhausted()) {
        resumeAt = ordered.get(i).id();
        return;
      }
      placeIfAllowed(ordered.get(i), useKnown, room);
    }
    placeOnDraining(ordered, useKnown, draining);
  }

  /** Where the last round stopped; -1 if it came to its end, or that job waits no more. */
  private int resumeIndex(List<Job> ordered) {
    if (resumeAt != null) {
      for (int i = 0; i < ordered.size(); i++) {
        if (ordered.get(i).id().equals(resumeAt)) {
          return i;
        }
      }
    }
    return -1;
  }

  /**
   * Whether the use of all teams is known: no earlier owner's late write can add to it, and no
   * other owner has the record of a job, whose tasks may still run.
   */
  private boolean isUseKnown() {
    if (shard.hasRecordOfOtherOwner()) {
      return false;
    }
    for (Job job : shard.jobs().values()) {
      if (!job.record().isTeamUseKnown()) {
        return false;
      }
    }
    return true;
  }

  /**
   * The most urgent jobs take what there is. Of those that follow, some find their image where
   * there is room: a fetch would keep that room idle for seconds.
   *
   * @return how many jobs need not be looked at again
   */
  private int placeUrgent(
      List<Job> ordered, List<Machine> room, boolean useKnown, RoundBudget budget) {
    int urgent = 0;
    while (urgent < ordered.size() && ordered.get(urgent).scheduling().slackS() < URGENT_S) {
      urgent++;
    }
    int placed = 0;
    int end = Math.min(ordered.size(), urgent + JOBS_PLACED_BY_IMAGE);
    for (int i = 0; i < end && !budget.isExhausted(); i++) {
      Job job = ordered.get(i);
      if (i < urgent) {
        placeIfAllowed(job, useKnown, room);
        placed = i + 1;
      } else {
        placeWhereImageIs(job, useKnown, room);
      }
    }
    return placed;
  }

  private void placeWhereImageIs(Job job, boolean useKnown, List<Machine> room) {
    List<Machine> holders = new ArrayList<>();
    for (Machine machine : room) {
      if (machine.holdsOrFetchesImage(job.spec())) {
        holders.add(machine);
      }
    }
    if (!holders.isEmpty()) {
      placeIfAllowed(job, useKnown, holders);
      room.removeIf(machine -> !machine.hasFreeCpus());
    }
  }

  /** What found no room takes machines back into use that were to run empty. */
  private void placeOnDraining(List<Job> ordered, boolean useKnown, List<Machine> draining) {
    List<Machine> before = List.copyOf(draining);
    int[] attemptsBefore = before.stream().mapToInt(machine -> machine.attempts().size()).toArray();
    for (Job job : ordered) {
      if (draining.isEmpty()) {
        break;
      }
      if (job.queuedTaskCount() > 0) {
        placeIfAllowed(job, useKnown, draining);
      }
    }
    for (int i = 0; i < attemptsBefore.length; i++) {
      if (before.get(i).attempts().size() > attemptsBefore[i]) {
        before.get(i).cancelDrain();
        context.count("machine.taken_back");
      }
    }
  }

  private void placeIfAllowed(Job job, boolean useKnown, List<Machine> room) {
    if (useKnown || !quotas.isLimited(job.spec().team())) {
      placer.place(job, room);
    }
  }
}
