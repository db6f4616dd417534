package shorecrank.coordination.shard;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import shorecrank.config.NodeConfig;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.MachineConstraints;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.model.TeamQuotas.Headroom;
import shorecrank.coordination.scheduling.Autoscaler;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.JobSpec.Priority;
import shorecrank.protocol.ShareMessages.Candidate;
import shorecrank.protocol.ShareMessages.DrainProgress;
import shorecrank.protocol.ShareMessages.DrainState;
import shorecrank.protocol.ShareMessages.ShardDemand;

/** What a shard's owner tells the leader of its share: what it has, needs and could give up. */
final class ShardDemandReporter {
  /** So many machines are named that the shard could give up. */
  private static final int MOST_CANDIDATES = 32;

  /** A machine that should be empty in more than this is not named. */
  private static final double MAX_EMPTY_S = 1e6;

  private final StepContext context;
  private final ShardOwner owner;

  ShardDemandReporter(StepContext context, ShardOwner owner) {
    this.context = context;
    this.owner = owner;
  }

  /** As of now; null while the picture is not whole. */
  ShardDemand now() {
    if (!owner.ready() || !owner.valid()) {
      return null;
    }
    double capacity = 0;
    double running = 0;
    List<Candidate> candidates = new ArrayList<>();
    List<DrainProgress> draining = new ArrayList<>();
    List<MoveId> arrived = new ArrayList<>();
    for (Machine h : owner.hosts.values()) {
      running += h.type() == null ? 0 : Math.min(h.usedCpus(), h.type().cpus());
      if (h.assignment().isHandoverRequested()) {
        draining.add(progress(h));
      } else if (h.assignment().isAssigned() && h.type() != null) {
        capacity += h.type().cpus();
        if (h.assignment().move().isSet() && h.session().isReconciled()) {
          arrived.add(h.assignment().move());
        }
        if (owner.usable(h) || h.isDraining()) {
          candidates.add(new Candidate(h.name(), h.type().cpus(), emptyInS(h)));
        }
      }
    }
    candidates.sort(
        Comparator.comparingDouble(Candidate::emptyInS).thenComparing(Candidate::machine));
    List<Candidate> soonest =
        List.copyOf(candidates.subList(0, Math.min(MOST_CANDIDATES, candidates.size())));
    Queue queue = queue();
    return new ShardDemand(
        capacity,
        running,
        queue.waiting,
        guaranteed(),
        queue.oldestS,
        queue.kinds,
        soonest,
        draining,
        arrived);
  }

  private DrainProgress progress(Machine h) {
    DrainState state = DrainState.DRAINING;
    if (h.isPreemptionNoticed()) {
      state = DrainState.NOTICED;
    } else if (h.session().isReconciled() && !owner.liveness.fresh(h)) {
      state = DrainState.SILENT;
    }
    return new DrainProgress(h.assignment().move(), state, h.attempts().size(), emptyInS(h));
  }

  /** Seconds until the machine's tasks should have ended, or can be stopped with their progress. */
  private double emptyInS(Machine h) {
    double longest = 0;
    for (TaskAttempt t : h.attempts()) {
      double left = t.remainingSeconds(context.now());
      if (t.job().spec.checkpointS() > 0) {
        left = Math.min(left, Math.max(0, Autoscaler.SETTLED_S - t.runSeconds(context.now())));
      }
      longest = Math.max(longest, left);
    }
    return Math.min(MAX_EMPTY_S, longest);
  }

  /** What waits: processors by priority, the age of the oldest job without a task, and for what. */
  private record Queue(List<Double> waiting, double oldestS, List<Offer> kinds) {}

  private Queue queue() {
    double[] waiting = new double[Priority.values().length];
    double oldestS = 0;
    Set<Offer> kinds = new LinkedHashSet<>();
    Map<String, Headroom> headrooms = new HashMap<>();
    for (Job j : owner.jobs.values()) {
      if (j.queued() == 0 || j.backoff > 0) {
        continue;
      }
      Headroom headroom = headrooms.computeIfAbsent(j.spec.team(), owner::headroom);
      int n = headroom.queuedTasksThatFit(j);
      if (n == 0) {
        continue;
      }
      headroom.take(j.spec, n);
      waiting[j.priority.ordinal()] += n * j.spec.cpus();
      if (j.live.isEmpty() && j.doneCount() == 0) {
        oldestS = Math.max(oldestS, j.readyS(context.wallMs()));
      }
      addKinds(j, kinds);
    }
    List<Double> byPriority = new ArrayList<>();
    for (double cpus : waiting) {
      byPriority.add(cpus);
    }
    return new Queue(byPriority, oldestS, List.copyOf(kinds));
  }

  private void addKinds(Job j, Set<Offer> kinds) {
    for (MachineType type : owner.catalog().values()) {
      for (String zone : type.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          Offer offer = new Offer(type.name(), zone, spot);
          if (!kinds.contains(offer) && MachineConstraints.allows(j.spec, offer, type)) {
            kinds.add(offer);
          }
        }
      }
    }
  }

  /** Of what each team has and asks for, what is within its guarantee. */
  private double guaranteed() {
    Map<String, Double> asked = new HashMap<>();
    for (Job j : owner.jobs.values()) {
      double cpus = (j.live.size() + j.queued()) * j.spec.cpus();
      asked.merge(j.spec.team(), cpus, Double::sum);
    }
    double within = 0;
    for (Map.Entry<String, Double> e : asked.entrySet()) {
      NodeConfig.Team team = context.config.teams().get(e.getKey());
      within += team == null ? 0 : Math.min(team.cpus(), e.getValue());
    }
    return within;
  }
}
