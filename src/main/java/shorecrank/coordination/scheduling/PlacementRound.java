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
 * Places the queued tasks of a shard's jobs in rounds. Each round goes through the jobs in the
 * order of the scheduling queue and places each on the machines that fit it best. If a round runs
 * out of time, the next one continues at the same job.
 */
public final class PlacementRound {
  /** Jobs with less slack than this are placed at once, even where their image is missing. */
  private static final double URGENT_SLACK_S = 3;

  /** How many jobs after the urgent ones may be placed early on machines that hold their image. */
  private static final int IMAGE_LOCALITY_JOBS = 8;

  private static final double MS_PER_S = 1000.0;

  private final StepContext context;
  private final ShardView shard;
  private final TeamQuotas quotas;
  private final SchedulingQueue queue;
  private final Preemption preemption;
  private final JobPlacer placer;

  /** The machines with free processors, so that a round in a full fleet checks few machines. */
  private final Set<Machine> machinesWithFreeCpus;

  /** The room for further attempts that those placed so far leave; set by each round. */
  private AttemptRoom attemptRoom;

  /** The job at which the last round ran out of time; null if it was completed. */
  private JobId resumeAt;

  /**
   * Creates the placement rounds of one shard.
   *
   * @param machinesWithFreeCpus a live view of the machines with free processors
   */
  public PlacementRound(
      StepContext context,
      ShardView shard,
      TeamQuotas quotas,
      SchedulingQueue queue,
      Set<Machine> machinesWithFreeCpus) {
    this.context = context;
    this.shard = shard;
    this.quotas = quotas;
    this.queue = queue;
    this.machinesWithFreeCpus = machinesWithFreeCpus;
    this.preemption = new Preemption(context, shard, queue);
    this.placer = new JobPlacer(context, shard, preemption);
  }

  /** Runs one round: places queued tasks until no more can be placed or the budget is exhausted. */
  public void run(RoundBudget budget) {
    context.count("round.looks", shard.jobs().size());
    List<Job> waiting = waitingJobs();
    if (waiting.isEmpty()) {
      return;
    }
    List<Machine> available = new ArrayList<>();
    List<Machine> draining = new ArrayList<>();
    context.count("round.looks", machinesWithFreeCpus.size());
    for (Machine machine : machinesWithFreeCpus) {
      if (machine.acceptsTasks(context.now()) && shard.liveness().isFresh(machine)) {
        (machine.isDraining() ? draining : available).add(machine);
      }
    }
    // Without free machines the jobs need not be sorted, unless one of them may preempt others.
    if (available.isEmpty()
        && draining.isEmpty()
        && waiting.stream().noneMatch(preemption::mayPreempt)) {
      return;
    }
    attemptRoom = shard.attemptRoom().withinMachines(machinesWithFreeCpus.size());
    placeAll(sorted(waiting), available, draining, budget);
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

  private List<Job> sorted(List<Job> waiting) {
    if (waiting.size() < 2) {
      return waiting;
    }
    double cpus = 0;
    double bootingCpus = 0;
    double cpuWeightedBootS = 0;
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
        bootingCpus += type.cpus();
        double ageS = context.now().since(machine.assignment().since()) / MS_PER_S;
        cpuWeightedBootS += type.cpus() * Math.max(1, type.bootS() - ageS);
      }
    }
    double runningCpuSeconds = 0;
    for (Job job : shard.jobs().values()) {
      runningCpuSeconds +=
          job.tasks().attemptCount() * job.spec().cpus() * job.spec().estimateS() / 2;
    }
    queue.updateUrgency(shard.jobs().values());
    return queue.sort(
        waiting,
        new FleetCapacity(
            fetchGbPerS / Math.max(1, cpus),
            cpus,
            bootingCpus,
            cpuWeightedBootS / Math.max(1, bootingCpus),
            runningCpuSeconds));
  }

  // ---- placement -------------------------------------------------------------------------------

  private void placeAll(
      List<Job> sorted, List<Machine> available, List<Machine> draining, RoundBudget budget) {
    int start = resumeIndex(sorted);
    resumeAt = null;
    boolean teamUsageKnown = isTeamUsageKnown();
    if (start < 0) {
      start = placeUrgent(sorted, available, teamUsageKnown, budget);
    }
    for (int i = start; i < sorted.size(); i++) {
      if (budget.isExhausted()) {
        resumeAt = sorted.get(i).id();
        return;
      }
      placeIfAllowed(sorted.get(i), teamUsageKnown, available);
    }
    placeOnDraining(sorted, teamUsageKnown, draining);
  }

  /**
   * Returns the index of the job at which the last round stopped, or -1 if that round was completed
   * or the job is no longer waiting.
   */
  private int resumeIndex(List<Job> sorted) {
    if (resumeAt != null) {
      for (int i = 0; i < sorted.size(); i++) {
        if (sorted.get(i).id().equals(resumeAt)) {
          return i;
        }
      }
    }
    return -1;
  }

  /**
   * Reports whether the resources that the teams use are known. They are not while a late write of
   * an earlier owner can add to them, or while another owner has the record of a job, whose tasks
   * may still run.
   */
  private boolean isTeamUsageKnown() {
    if (shard.hasRecordOfOtherOwner()) {
      return false;
    }
    for (Job job : shard.jobs().values()) {
      if (!job.record().isTeamUsageKnown()) {
        return false;
      }
    }
    return true;
  }

  /**
   * Places urgent jobs on any available machine, then some of the jobs that follow on machines that
   * hold their image. Other jobs would keep these machines idle for seconds while they fetch an
   * image.
   *
   * @return the number of urgent jobs done, which this round need not consider again
   */
  private int placeUrgent(
      List<Job> sorted, List<Machine> available, boolean teamUsageKnown, RoundBudget budget) {
    int urgent = 0;
    while (urgent < sorted.size() && sorted.get(urgent).scheduling().slackS() < URGENT_SLACK_S) {
      urgent++;
    }
    int placed = 0;
    int end = Math.min(sorted.size(), urgent + IMAGE_LOCALITY_JOBS);
    for (int i = 0; i < end && !budget.isExhausted(); i++) {
      Job job = sorted.get(i);
      if (i < urgent) {
        placeIfAllowed(job, teamUsageKnown, available);
        placed = i + 1;
      } else {
        placeByImageLocality(job, teamUsageKnown, available);
      }
    }
    return placed;
  }

  private void placeByImageLocality(Job job, boolean teamUsageKnown, List<Machine> available) {
    List<Machine> machinesWithImage = new ArrayList<>();
    for (Machine machine : available) {
      if (machine.holdsOrFetchesImage(job.spec())) {
        machinesWithImage.add(machine);
      }
    }
    if (!machinesWithImage.isEmpty()) {
      placeIfAllowed(job, teamUsageKnown, machinesWithImage);
      available.removeIf(machine -> !machine.hasFreeCpus());
    }
  }

  /**
   * Places the tasks that are still queued on draining machines, and cancels the drain of those
   * machines.
   */
  private void placeOnDraining(List<Job> sorted, boolean teamUsageKnown, List<Machine> draining) {
    List<Machine> before = List.copyOf(draining);
    int[] attemptsBefore = before.stream().mapToInt(machine -> machine.attempts().size()).toArray();
    for (Job job : sorted) {
      if (draining.isEmpty()) {
        break;
      }
      if (job.queuedTaskCount() > 0) {
        placeIfAllowed(job, teamUsageKnown, draining);
      }
    }
    for (int i = 0; i < attemptsBefore.length; i++) {
      if (before.get(i).attempts().size() > attemptsBefore[i]) {
        before.get(i).cancelDrain();
        context.count("machine.taken_back");
      }
    }
  }

  private void placeIfAllowed(Job job, boolean teamUsageKnown, List<Machine> available) {
    if (teamUsageKnown || !quotas.isLimited(job.spec().team())) {
      placer.place(job, available, attemptRoom);
    }
  }
}
