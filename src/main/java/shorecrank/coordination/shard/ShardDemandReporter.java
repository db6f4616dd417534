package shorecrank.coordination.shard;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import shorecrank.config.NodeConfig;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.MachineConstraints;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.scheduling.QueuedDemand;
import shorecrank.coordination.scheduling.ShardView;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.JobSpec.Priority;
import shorecrank.protocol.ShardDemandMessages.DrainCandidate;
import shorecrank.protocol.ShardDemandMessages.DrainProgress;
import shorecrank.protocol.ShardDemandMessages.DrainState;
import shorecrank.protocol.ShardDemandMessages.ShardDemand;

/** Reports a shard's demand for machines to the leader: what it has, needs and could give up. */
final class ShardDemandReporter {
  /** Maximum number of machines that are reported as ones the shard could give up. */
  private static final int MAX_CANDIDATES = 32;

  /** Upper bound of the reported time until a machine is empty, in seconds. */
  private static final double MAX_EMPTY_S = 1e6;

  private final StepContext context;
  private final ShardView shard;

  ShardDemandReporter(StepContext context, ShardView shard) {
    this.context = context;
    this.shard = shard;
  }

  /**
   * Returns the current demand; empty until all records are read or while the lease is not valid.
   */
  Optional<ShardDemand> current() {
    if (!shard.isReady() || !shard.isLeaseValid()) {
      return Optional.empty();
    }
    double capacity = 0;
    double running = 0;
    List<DrainCandidate> candidates = new ArrayList<>();
    List<DrainProgress> draining = new ArrayList<>();
    List<MoveId> arrived = new ArrayList<>();
    for (Machine machine : shard.machines().values()) {
      running +=
          machine.type() == null ? 0 : Math.min(machine.occupiedCpus(), machine.type().cpus());
      if (machine.assignment().isHandoverRequested()) {
        draining.add(drainProgress(machine));
      } else if (machine.assignment().isAssigned() && machine.type() != null) {
        capacity += machine.type().cpus();
        if (machine.assignment().move().isSet() && machine.session().isReconciled()) {
          arrived.add(machine.assignment().move());
        }
        if (shard.isUsable(machine) || machine.isDraining()) {
          candidates.add(
              new DrainCandidate(
                  machine.name(), machine.type().cpus(), secondsUntilEmpty(machine)));
        }
      }
    }
    candidates.sort(
        Comparator.comparingDouble(DrainCandidate::emptyInS)
            .thenComparing(DrainCandidate::machine));
    List<DrainCandidate> soonest =
        List.copyOf(candidates.subList(0, Math.min(MAX_CANDIDATES, candidates.size())));
    QueueSummary queue = queue();
    return Optional.of(
        new ShardDemand(
            capacity,
            running,
            queue.waiting,
            guaranteedCpus(),
            queue.oldestWaitS,
            queue.usableOffers,
            soonest,
            draining,
            arrived));
  }

  private DrainProgress drainProgress(Machine machine) {
    DrainState state = DrainState.DRAINING;
    if (machine.isPreemptionNoticed()) {
      state = DrainState.NOTICED;
    } else if (machine.session().isReconciled() && !shard.liveness().isFresh(machine)) {
      state = DrainState.SILENT;
    }
    return new DrainProgress(
        machine.assignment().move(), state, machine.attempts().size(), secondsUntilEmpty(machine));
  }

  /**
   * Returns the seconds until the machine's tasks should have ended or can be stopped without
   * losing their progress.
   */
  private double secondsUntilEmpty(Machine machine) {
    double longest = 0;
    for (TaskAttempt attempt : machine.attempts()) {
      double left = attempt.remainingSeconds(context.now());
      if (attempt.job().spec().checkpointIntervalS() > 0) {
        left =
            Math.min(
                left,
                Math.max(0, TaskAttempt.MIN_RUN_BEFORE_MOVE_S - attempt.runSeconds(context.now())));
      }
      longest = Math.max(longest, left);
    }
    return Math.min(MAX_EMPTY_S, longest);
  }

  /**
   * The queued tasks.
   *
   * @param waiting the processors that they need, by priority
   * @param oldestWaitS the longest time in seconds that a job without an attempt or a finished task
   *     has been ready
   * @param usableOffers the offers of machines that they could run on
   */
  private record QueueSummary(List<Double> waiting, double oldestWaitS, List<Offer> usableOffers) {}

  private QueueSummary queue() {
    double[] waiting = new double[Priority.values().length];
    double oldestWaitS = 0;
    Set<Offer> usableOffers = new LinkedHashSet<>();
    for (QueuedDemand queued : QueuedDemand.of(shard)) {
      Job job = queued.job();
      waiting[job.scheduling().priority().ordinal()] += queued.cpus();
      if (!job.tasks().hasAttempts() && job.tasks().doneCount() == 0) {
        oldestWaitS = Math.max(oldestWaitS, job.readyForS(context.wallMs()));
      }
      addUsableOffers(job, usableOffers);
    }
    List<Double> byPriority = new ArrayList<>();
    for (double cpus : waiting) {
      byPriority.add(cpus);
    }
    return new QueueSummary(byPriority, oldestWaitS, List.copyOf(usableOffers));
  }

  private void addUsableOffers(Job job, Set<Offer> usableOffers) {
    for (MachineType type : shard.catalog().values()) {
      for (String zone : type.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          Offer offer = new Offer(type.name(), zone, spot);
          if (!usableOffers.contains(offer) && MachineConstraints.allows(job.spec(), offer, type)) {
            usableOffers.add(offer);
          }
        }
      }
    }
  }

  /** Returns the processors that teams use or request within their guarantees. */
  private double guaranteedCpus() {
    Map<String, Double> requestedCpus = new HashMap<>();
    for (Job job : shard.jobs().values()) {
      double cpus = (job.tasks().attemptCount() + job.queuedTaskCount()) * job.spec().cpus();
      requestedCpus.merge(job.spec().team(), cpus, Double::sum);
    }
    double guaranteedTotal = 0;
    for (Map.Entry<String, Double> entry : requestedCpus.entrySet()) {
      NodeConfig.Team team = context.config().teams().get(entry.getKey());
      guaranteedTotal += team == null ? 0 : Math.min(team.guaranteedCpus(), entry.getValue());
    }
    return guaranteedTotal;
  }
}
