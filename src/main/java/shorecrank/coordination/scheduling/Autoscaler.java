package shorecrank.coordination.scheduling;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.MachineConstraints;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.model.TeamQuotas.Headroom;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.PeerMessages.CapacityRequest;
import shorecrank.protocol.PeerMessages.UnavailableOffer;

/** Which machines a part asks the leader to rent and to return. */
public final class Autoscaler {
  /** Arrivals come in bursts: somewhat more than the last peak stays. */
  private static final double SPARE = 1.05;

  /** Machines usually boot in up to one and a half times the usual time. */
  private static final double LONG_BOOT = 2;

  /** So long after a refusal a kind is asked for in small numbers. */
  private static final long SCARCE_MS = 60_000;

  private static final int PROBE = 10;

  /** Of the room there is, so much may be taken by tasks that move; the rest is for new ones. */
  private static final double MOVE_SHARE = 0.5;

  /** So many machine seconds must be won by a move for each that it costs. */
  private static final double MOVE_GAIN = 2;

  /** A start that is stopped sooner does not count as one (PROTOCOL: 30 s). */
  public static final double SETTLED_S = 32;

  private final StepContext context;
  private final ShardView owner;
  private final Map<Offer, MonotonicTime> blocked = new HashMap<>();

  /** When a kind was last known to be used up. */
  private final Map<Offer, MonotonicTime> refusedAt = new HashMap<>();

  /** When a third of the fleet, and when half of a zone, was last found silent. */
  private MonotonicTime manySilentAt = MonotonicTime.NEVER;

  private final Map<String, MonotonicTime> zoneSilentAt = new HashMap<>();

  /** Falling peaks of what was needed lately, the highest first. */
  private final ArrayDeque<Peak> peaks = new ArrayDeque<>();

  public Autoscaler(StepContext context, ShardView owner) {
    this.context = context;
    this.owner = owner;
  }

  public void blocked(List<UnavailableOffer> l) {
    blocked.clear();
    l.forEach(
        b -> {
          blocked.put(b.offer(), context.now().plus(b.forMs()));
          refusedAt.put(b.offer(), context.now());
        });
  }

  /** Machines to be given back: broken, silent, or idle for a while. */
  public void review(List<MachineName> retire) {
    MonotonicTime now = context.now();
    double report = reportS() * 1000;
    double lease = context.config.workers().leaseS() * 1000;
    Silence all = new Silence();
    Map<String, Silence> byZone = new HashMap<>();
    for (Machine h : owner.machines().values()) {
      // One that holds tasks has run before, whether or not this owner has heard it.
      if (h.info() != null && (h.session().isReported() || !h.isEmpty())) {
        boolean silent = !owner.liveness().isFresh(h);
        all.add(silent);
        byZone.computeIfAbsent(h.info().zone(), z -> new Silence()).add(silent);
      }
    }
    // Many silent at once: more likely it is we who are cut off, or they have not found us yet.
    if (all.silent > Math.max(2, all.expected / 3)) {
      manySilentAt = now;
    }
    // A zone most of which is silent is cut off: its machines come back all at once, and until
    // then none could be rented in their place.
    byZone.forEach(
        (zone, s) -> {
          if (s.silent > Math.max(2, s.expected / 2)) {
            zoneSilentAt.put(zone, now);
          }
        });
    // Releasing a silent machine is the quick way to be sure of its tasks, where its lease is long.
    double early = 3 * report + 4000;
    double soon = lease - early > 10_000 ? early : lease + 30_000;
    double patient = lease + 60_000;
    balance();
    for (Machine h : owner.machines().values()) {
      long quiet = owner.liveness().silentMs(h);
      // When it is over the last of them have a lease's time to find their way.
      MonotonicTime cutAt =
          h.info() == null
              ? MonotonicTime.NEVER
              : zoneSilentAt.getOrDefault(h.info().zone(), MonotonicTime.NEVER);
      boolean wait = now.since(manySilentAt) <= lease || now.since(cutAt) <= lease;
      double patience = wait ? patient : soon;
      if (!h.session().isReported()) {
        double boot = h.type() == null ? 60 : h.type().bootS();
        boolean holds = !h.isEmpty();
        long here = now.since(h.assignment().since());
        if (holds
            ? quiet > (wait ? patience : Math.max(15_000, early))
            : here > (h.assignment().hasArrivedFromShard() ? patience : 1000 * (5 * boot + 120))) {
          if (holds || h.assignment().isAssigned()) {
            retire.add(h.name());
          }
        }
        continue;
      }
      if (quiet > patience) {
        retire.add(h.name());
      } else if (h.session().isUnresponsive()
          && h.session().missedAnswers() > 1
          && h.isEmpty()
          && now.since(h.session().unresponsiveSince()) > 3 * lease + 30_000) {
        retire.add(h.name());
      } else if (h.health().quarantines() > 1 && h.isEmpty() && owner.liveness().isFresh(h)) {
        h.release();
        retire.add(h.name());
      } else if (h.isDraining()
          && !h.assignment().isHandoverRequested()
          && h.isEmpty()
          && h.session().listedTasks() == 0
          && owner.liveness().isFresh(h)
          && now.since(h.idleSince()) > 2000) {
        h.release();
        retire.add(h.name());
      } else if (h.isReleasing()) {
        if (h.isEmpty() && h.session().listedTasks() == 0) {
          retire.add(h.name());
        }
      }
    }
  }

  /**
   * Keeps what lately was needed at the most, and lets the dearest of the rest run empty; takes
   * them back before anything is rented.
   */
  private void balance() {
    MonotonicTime now = context.now();
    double used = 0;
    double have = 0;
    List<Machine> running = new ArrayList<>();
    List<Machine> draining = new ArrayList<>();
    for (Machine h : owner.machines().values()) {
      if (h.type() == null) {
        continue;
      }
      // What runs on a silent machine, or on one that goes, needs room elsewhere before long.
      used += h.usedShare() * h.type().cpus();
      if (!h.session().isReported()
          || !owner.liveness().isFresh(h)
          || h.isReleasing()
          || h.isPreemptionNoticed()
          || h.assignment().isHandoverRequested()) {
        continue;
      }
      if (h.isDraining()) {
        draining.add(h);
      } else {
        have += h.type().cpus();
        running.add(h);
      }
    }
    Map<Job, Integer> waiting = waiting();
    double unfit = 0;
    double mayRun = 0;
    for (Map.Entry<Job, Integer> e : waiting.entrySet()) {
      unfit += need(e.getKey(), e.getValue());
      mayRun += e.getValue() * e.getKey().spec().cpus();
    }
    context.gauge("cpus.waited_for.in_limit", mayRun);
    double need = used + unfit;
    peaks.removeIf(p -> now.since(p.at) > context.tuning.idleReturnS() * 1000L);
    peaks.removeIf(p -> p.cpus <= need);
    peaks.add(new Peak(now, need));
    double keep = peaks.peekFirst().cpus * SPARE;
    Comparator<Machine> dear =
        Comparator.<Machine>comparingDouble(h -> h.type().price(h.info().spot()) / h.type().cpus());
    draining.sort(dear.thenComparing(h -> h.name()));
    for (Machine h : running) {
      unfit -= owner.usable(h) ? roomFor(waiting, h) : 0;
    }
    for (Machine h : draining) {
      if (have >= keep && unfit <= 0) {
        break;
      }
      h.cancelDrain();
      have += h.type().cpus();
      unfit -= roomFor(waiting, h);
    }
    if (now.since(owner.readyAt()) < context.tuning.idleReturnS() * 1000L) {
      return;
    }
    vacate(draining);
    if (unfit > 0) {
      return;
    }
    running.sort(dear.reversed().thenComparing(Machine::usedCpus).thenComparing(h -> h.name()));
    for (Machine h : running) {
      if (have - h.type().cpus() < keep) {
        break;
      }
      h.drain();
      have -= h.type().cpus();
    }
  }

  /**
   * Machines that are to go back run empty slowly, each held by its longest task. Tasks that can
   * save move to where there is room, if their machine goes back so much sooner that it is worth
   * the saving, the new start and perhaps another fetch.
   */
  private void vacate(List<Machine> draining) {
    double room = 0;
    for (Machine h : owner.machines().values()) {
      room += owner.usable(h) ? h.freeCpus() : 0;
    }
    for (Job j : owner.jobs().values()) {
      room -= j.queued() * j.spec().cpus();
    }
    room *= MOVE_SHARE;
    draining.sort(
        Comparator.<Machine>comparingDouble(h -> -h.type().price(h.info().spot()) / h.type().cpus())
            .thenComparing(Machine::usedCpus)
            .thenComparing(h -> h.name()));
    for (Machine h : draining) {
      if (!h.isDraining()
          || h.isEmpty()
          || !owner.liveness().isFresh(h)
          || h.session().isUnresponsive()) {
        continue;
      }
      List<TaskAttempt> movable = new ArrayList<>();
      double cpus = 0;
      double cost = 0;
      double staysS = 0;
      double leavesS = 0;
      for (TaskAttempt t : h.attempts()) {
        double left = t.remainingSeconds(context.now());
        double move = t.job().spec().saveS() + h.fullFetchSeconds(t.job().spec()) / 2 + reportS();
        if (t.canMoveByCheckpoint() && t.runSeconds(context.now()) > SETTLED_S) {
          movable.add(t);
          cpus += t.job().spec().cpus();
          cost += t.job().spec().cpus() * move / h.type().cpus();
          leavesS = Math.max(leavesS, left);
          staysS = Math.max(staysS, move);
        } else {
          staysS = Math.max(staysS, left);
        }
      }
      if (cpus <= room && leavesS - staysS > MOVE_GAIN * cost && !movable.isEmpty()) {
        room -= cpus;
        movable.forEach(t -> t.revoke());
        context.count("task.moved", movable.size());
      }
    }
  }

  private double reportS() {
    return context.config.workers().reportS();
  }

  /** Of the machines that should be heard, how many are not. */
  private static final class Silence {
    int expected;
    int silent;

    void add(boolean isSilent) {
      expected++;
      silent += isSilent ? 1 : 0;
    }
  }

  private record Peak(MonotonicTime at, double cpus) {}

  /** Tasks that wait for machines, by job; what waits for its team's limit needs none. */
  private Map<Job, Integer> waiting() {
    Map<Job, Integer> waiting = new LinkedHashMap<>();
    Map<String, Headroom> headrooms = new HashMap<>();
    for (Job j : owner.jobs().values()) {
      if (j.queued() == 0 || j.scheduling().isBackingOff()) {
        continue;
      }
      Headroom headroom = headrooms.computeIfAbsent(j.spec().team(), owner::headroom);
      int n = headroom.queuedTasksThatFit(j);
      if (n > 0) {
        waiting.put(j, n);
        headroom.take(j.spec(), n);
      }
    }
    return waiting;
  }

  /**
   * Processors of a machine that waiting jobs can use. What is free is not always of use: a task
   * may need more memory, or more processors, than any machine has left.
   */
  private double roomFor(Map<Job, Integer> waiting, Machine h) {
    double best = 0;
    if (h.freeCpus() > 1e-9) {
      for (Map.Entry<Job, Integer> e : waiting.entrySet()) {
        JobSpec s = e.getKey().spec();
        int n = Math.min(h.fits(s), e.getValue());
        if (n > 0 && h.isAllowedFor(s)) {
          best = Math.max(best, n * size(s, owner.catalog()));
        }
      }
    }
    return best;
  }

  /** Processors that would clear a job's queue in good time. */
  private double need(Job j, int n) {
    double parallel =
        Math.min(n, Math.ceil(n * Math.max(1, j.spec().estimateS()) / context.tuning.clearS()));
    return parallel * size(j.spec(), owner.catalog());
  }

  /** What the waiting work needs beyond what is there or on its way. */
  public List<CapacityRequest> capacityRequests() {
    List<CapacityRequest> capacityRequests = new ArrayList<>();
    if (!owner.ready() || !owner.valid()) {
      return capacityRequests;
    }
    MonotonicTime now = context.now();
    Map<String, MachineType> catalog = owner.catalog();
    Map<Job, Integer> waiting = waiting();
    if (waiting.isEmpty()) {
      return capacityRequests;
    }
    double free = 0;
    for (Machine h : owner.machines().values()) {
      if (h.type() == null
          || !h.assignment().isAssigned()
          || h.isReleasing()
          || h.isPreemptionNoticed()) {
        continue;
      }
      if (!h.session().isReported()) {
        if (mayComeUp(h)) {
          free += roomFor(waiting, h);
        }
      } else if (owner.usable(h)) {
        free += roomFor(waiting, h);
      }
    }
    double need = 0;
    Map<Job, Double> needs = new HashMap<>();
    for (Map.Entry<Job, Integer> e : waiting.entrySet()) {
      double cpus = need(e.getKey(), e.getValue());
      needs.put(e.getKey(), cpus);
      need += cpus;
    }
    double deficit = need - free;
    if (deficit <= 0) {
      return capacityRequests;
    }
    List<Offer> offers = new ArrayList<>();
    for (MachineType t : catalog.values()) {
      for (String z : t.zones()) {
        offers.add(new Offer(t.name(), z, true));
        offers.add(new Offer(t.name(), z, false));
      }
    }
    Map<String, Integer> perZone = new HashMap<>();
    owner.machines().values().stream()
        .filter(h -> h.info() != null)
        .forEach(h -> perZone.merge(h.info().zone(), 1, Integer::sum));
    offers.sort(
        Comparator.<Offer>comparingDouble(this::perCpu)
            .thenComparing(o -> perZone.getOrDefault(o.zone(), 0))
            .thenComparing(Offer::toString));
    double slack = waiting.keySet().stream().allMatch(this::served) ? 0.25 : 0;
    offers.removeIf(
        o -> {
          MonotonicTime until = blocked.get(o);
          return until != null && context.now().before(until);
        });
    for (int i = 0; i < offers.size() && deficit > 0; ) {
      // Zones at one price share alike: less is lost when one of them fails or is used up.
      int alike = i + 1;
      while (alike < offers.size() && perCpu(offers.get(alike)) <= perCpu(offers.get(i)) + 1e-9) {
        alike++;
      }
      for (; i < alike; i++) {
        Offer o = offers.get(i);
        MachineType t = catalog.get(o.type());
        double eligible = 0;
        for (Map.Entry<Job, Double> e : needs.entrySet()) {
          if (MachineConstraints.allows(e.getKey().spec(), o, t)) {
            eligible += e.getValue();
          }
        }
        double cover = Math.min(eligible, deficit / (alike - i));
        // A small overhang waits for room, but not for ever: a job no machine can serve needs one.
        int count = (int) Math.ceil(cover / t.cpus() - slack);
        if (count > 0 && now.since(refusedAt.getOrDefault(o, MonotonicTime.NEVER)) < SCARCE_MS) {
          // Most likely still used up: asked for again, but others are not put off for it.
          capacityRequests.add(new CapacityRequest(o, Math.min(count, PROBE)));
        } else if (count > 0) {
          capacityRequests.add(new CapacityRequest(o, count));
          deficit -= count * t.cpus();
        }
      }
    }
    return capacityRequests;
  }

  /**
   * One that takes far longer than usual to boot may never come up, or was gone when it was met.
   */
  private boolean mayComeUp(Machine h) {
    return !h.assignment().hasArrivedFromShard()
        && h.type() != null
        && context.now().since(h.assignment().since()) < LONG_BOOT * 1000 * h.type().bootS();
  }

  private double perCpu(Offer o) {
    MachineType t = owner.catalog().get(o.type());
    return t.price(o.spot()) / t.cpus();
  }

  private boolean served(Job j) {
    for (Machine h : owner.machines().values()) {
      if (h.assignment().isAssigned()
          && !h.isReleasing()
          && !h.isPreemptionNoticed()
          && !h.assignment().isHandoverRequested()
          && (h.session().isReported() || mayComeUp(h))
          && h.isAllowedFor(j.spec())) {
        return true;
      }
    }
    return false;
  }

  /** A task's share of a machine in processors, where memory or accelerators may be what counts. */
  private static double size(JobSpec s, Map<String, MachineType> catalog) {
    double best = Double.MAX_VALUE;
    for (MachineType t : catalog.values()) {
      double share = s.cpus() / t.cpus();
      share = Math.max(share, s.memoryGb() / Math.max(1e-9, t.memoryGb()));
      if (s.gpus() > 0) {
        share = Math.max(share, s.gpus() / Math.max(1e-9, t.gpus()));
      }
      if (share <= 1) {
        best = Math.min(best, share * t.cpus());
      }
    }
    return best == Double.MAX_VALUE ? s.cpus() : best;
  }
}
