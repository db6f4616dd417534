package shorecrank.coordination.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import shorecrank.config.NodeConfig;
import shorecrank.config.NodeConfig.Objective;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.JobSpec;

/**
 * In which order waiting jobs get room.
 *
 * <p>First come jobs that have waited long without a first task. Then those that can still reach an
 * aim of their class, by the latest start that reaches it; but where the fleet can't serve them all
 * in time, the job that asks for the most work for what it counts is put back until the others can
 * be served. Aims are shares of a class's jobs, so a job counts for the less the more jobs its
 * class has, and for more by the number of its class's aims and by its priority. The rest follows
 * by priority and least work left.
 */
public final class SchedulingQueue {
  /** A job without a single task after this long goes first, whatever its size. */
  static final double BEGIN_S = 120;

  /** Of such a job only a share goes first, so that one large job does not stop all others. */
  public static final int BEGIN_SHARE = 8;

  /** Estimates are often wrong by half: a job is given up on only when half of it is too long. */
  private static final double DOUBT = 0.5;

  /** Tasks of a job differ, and its last one counts. */
  private static final double LAST_TASK = 1.3;

  /**
   * Work within its team's guarantee waits for nobody, but lets closer aims go first for so long.
   */
  private static final double OWED_S = 2;

  /**
   * A job that asks for so many times less than others do for what it counts goes before them: it
   * hardly delays them.
   */
  private static final double SMALL = 8;

  /** Machines are never all busy with what was placed best: room is lost to shapes and images. */
  private static final double USABLE = 0.75;

  private record Aim(boolean start, double withinS, double times) {}

  /** One job in one round. */
  private record Entry(
      Job job, double latestStartS, double runS, double work, double weight, boolean owed) {}

  private final StepContext context;
  private final Map<String, List<Aim>> aims = new HashMap<>();

  /** How many jobs of a class there were; aims are shares of them. */
  private final Map<String, Integer> seen = new HashMap<>();

  private final Set<Job> known = new HashSet<>();

  private final DependencyGraph dependencies;

  /** How fast the fleet's machines fetch images, as last seen. */
  private double fetchGbPerS = 0.2;

  public SchedulingQueue(StepContext context, DependencyGraph dependencies) {
    this.context = context;
    this.dependencies = dependencies;
    for (Objective o : context.config.objectives()) {
      List<Aim> l = aims.computeIfAbsent(o.jobClass(), k -> new ArrayList<>());
      switch (o.kind()) {
        case "wait" -> l.add(new Aim(true, o.withinS(), 0));
        case "finished" -> l.add(new Aim(false, o.withinS(), 0));
        case "deadline" -> l.add(new Aim(false, 0, o.times()));
        default -> {}
      }
    }
  }

  /** Whether users of the class wait for the start of its tasks. */
  public boolean waitsForStart(JobSpec s) {
    return aims.getOrDefault(s.jobClass(), List.of()).stream().anyMatch(Aim::start);
  }

  boolean hasAims(JobSpec s) {
    return !aims.getOrDefault(s.jobClass(), List.of()).isEmpty() || s.hasDeadline();
  }

  public static boolean overdue(Job j, long wallMs) {
    return !j.tasks().wasPlaced()
        && j.tasks().doneCount() == 0
        && j.scheduling().isReady()
        && j.readyS(wallMs) > BEGIN_S;
  }

  /**
   * Sorts jobs by who gets room first.
   *
   * @param fetchGbPerS how fast machines fetch images
   * @param cpus the fleet's processors
   * @param soonCpus those on their way
   * @param soonS when they will be there
   * @param busyWork processor seconds left of what runs
   */
  public List<Job> sort(
      Collection<Job> waiting,
      double fetchGbPerS,
      double cpus,
      double soonCpus,
      double soonS,
      double busyWork) {
    long wall = context.wallMs();
    this.fetchGbPerS = fetchGbPerS > 0 ? fetchGbPerS : this.fetchGbPerS;
    List<Job> first = new ArrayList<>();
    List<Entry> reachable = new ArrayList<>();
    List<Job> rest = new ArrayList<>();
    for (Job j : waiting) {
      learn(j);
      if (overdue(j, wall)) {
        first.add(j);
        j.scheduling().setSlackS(0);
        continue;
      }
      Entry e = entry(j, fetchGbPerS, wall);
      if (e == null) {
        rest.add(j);
        j.scheduling().setSlackS(Double.MAX_VALUE);
      } else {
        reachable.add(e);
        j.scheduling().setSlackS(e.latestStartS());
      }
    }
    first.sort(Comparator.comparingLong((Job j) -> j.acceptedAtMs()).thenComparing(Job::id));
    reachable.sort(
        Comparator.comparingDouble(Entry::latestStartS).thenComparing(e -> e.job().id()));
    // Moore and Hodgson: whenever the jobs so far can't all be in time, the largest steps back.
    PriorityQueue<Entry> kept =
        new PriorityQueue<>(Comparator.comparingDouble(e -> -e.work() / e.weight()));
    Set<Job> back = new HashSet<>();
    double work = busyWork;
    double there = cpus * USABLE;
    double coming = soonCpus * USABLE;
    for (Entry e : reachable) {
      work += e.work();
      if (e.owed()) {
        continue;
      }
      kept.add(e);
      while (!kept.isEmpty()
          && clearS(work, there, coming, soonS) > Math.max(0, e.latestStartS()) + e.runS()) {
        Entry largest = kept.poll();
        work -= largest.work();
        back.add(largest.job());
        if (largest == e) {
          break;
        }
      }
    }
    List<Job> order = new ArrayList<>(waiting.size());
    order.addAll(first);
    double most = 0;
    for (Entry e : reachable) {
      most = Math.max(most, e.work() / e.weight());
    }
    List<Job> large = new ArrayList<>();
    for (Entry e : reachable) {
      if (back.contains(e.job())) {
        rest.add(e.job());
        e.job().scheduling().setSlackS(Double.MAX_VALUE);
      } else if (e.work() / e.weight() * SMALL < most) {
        order.add(e.job());
      } else {
        large.add(e.job());
      }
    }
    order.addAll(large);
    rest.sort(
        Comparator.<Job, JobSpec.Priority>comparing(j -> j.scheduling().priority())
            .thenComparingDouble(Job::workLeft)
            .thenComparing(Job::id));
    order.addAll(rest);
    return order;
  }

  /** When so much work is done, with what is there and what comes. */
  private static double clearS(double work, double cpus, double soonCpus, double soonS) {
    if (work <= cpus * soonS || soonCpus <= 0) {
      return work / Math.max(1, cpus);
    }
    return soonS + (work - cpus * soonS) / (cpus + soonCpus);
  }

  /**
   * Marks the jobs within their team's guarantee: those that fit into it together with all of the
   * team's earlier ones.
   */
  public void owe(Collection<Job> jobs) {
    Map<String, List<Job>> byTeam = new HashMap<>();
    for (Job j : jobs) {
      j.scheduling().setWithinGuarantee(false);
      NodeConfig.Team t = context.config.teams().get(j.spec().team());
      if (t != null
          && (t.cpus() > 0 || t.gpus() > 0)
          && !j.isCancelled()
          && j.scheduling().isReady()) {
        byTeam.computeIfAbsent(j.spec().team(), k -> new ArrayList<>()).add(j);
      }
    }
    byTeam.forEach(
        (name, l) -> {
          NodeConfig.Team t = context.config.teams().get(name);
          l.sort(Comparator.comparingLong((Job j) -> j.acceptedAtMs()).thenComparing(Job::id));
          double cpus = 0;
          double gpus = 0;
          for (Job j : l) {
            cpus += j.spec().tasks() * j.spec().cpus();
            gpus += j.spec().tasks() * j.spec().gpus();
            j.scheduling().setWithinGuarantee(cpus <= t.cpus() + 1e-9 && gpus <= t.gpus() + 1e-9);
          }
        });
  }

  /** Null if no aim can be reached any more, or there is none. */
  private Entry entry(Job j, double fetchGbPerS, long wall) {
    JobSpec s = j.spec();
    double age = j.ageS(wall);
    // But for deadlines, times count from when the last job that it needs was done.
    double waited = j.readyS(wall);
    double fetch = s.imageGb() / Math.max(0.01, fetchGbPerS);
    double command = context.config.workers().reportS() / 2;
    double run = Math.max(0.5, s.estimateS());
    double best = Double.MAX_VALUE;
    for (Aim a : aims.getOrDefault(s.jobClass(), List.of())) {
      double latest;
      if (a.start()) {
        // The image may be there and the machine's report about to come: given up only once past.
        latest = a.withinS() - fetch - command - waited;
        if (waited >= a.withinS()) {
          continue;
        }
      } else {
        if (a.withinS() <= 0 && !s.hasDeadline()) {
          continue;
        }
        double left = a.withinS() > 0 ? a.withinS() - waited : s.deadlineS() * a.times() - age;
        latest = left - fetch - command - run * LAST_TASK;
        if (left < fetch + command + run * DOUBT) {
          continue;
        }
      }
      best = Math.min(best, latest);
    }
    double weight = weight(s.jobClass());
    for (DependencyGraph.Due d : dependencies.dues(j)) {
      double left = (d.byMs() - wall) / 1000;
      if (left >= fetch + command + run * DOUBT) {
        best = Math.min(best, left - fetch - command - run * LAST_TASK);
        weight = Math.max(weight, weight(d.jobClass()));
      }
    }
    if (j.scheduling().isWithinGuarantee()) {
      best = Math.min(best, OWED_S - waited);
    }
    if (best == Double.MAX_VALUE) {
      return null;
    }
    weight *=
        switch (j.scheduling().priority()) {
          case PROD -> 4;
          case URGENT -> 2;
          case NORMAL -> 1.4;
          case LOW -> 1;
        };
    double queuedWork = j.queued() * Math.max(0.1, s.cpus()) * (run + fetch);
    return new Entry(
        j,
        best,
        run * LAST_TASK + fetch + command,
        queuedWork,
        weight,
        j.scheduling().isWithinGuarantee());
  }

  /** What a job of the class counts for: aims are shares of a class's jobs. */
  private double weight(String jobClass) {
    return (double) Math.max(1, aims.getOrDefault(jobClass, List.of()).size())
        / Math.max(1, seen.getOrDefault(jobClass, 1));
  }

  /** The deadlines of a job's own, on the wall clock. */
  public List<DependencyGraph.Due> ownDues(Job j) {
    List<DependencyGraph.Due> l = new ArrayList<>();
    if (j.spec().hasDeadline()) {
      for (Aim a : aims.getOrDefault(j.spec().jobClass(), List.of())) {
        if (!a.start() && a.withinS() <= 0) {
          double s = j.spec().deadlineS() * a.times();
          l.add(new DependencyGraph.Due(j.acceptedAtMs() + s * 1000, j.spec().jobClass()));
        }
      }
    }
    return l;
  }

  /** What a job takes from when it is ready, by its owner's estimate. */
  public double spanMs(Job j) {
    double command = context.config.workers().reportS() / 2;
    double run = Math.max(0.5, j.spec().estimateS());
    return 1000 * (j.spec().imageGb() / Math.max(0.01, fetchGbPerS) + command + run * LAST_TASK);
  }

  private void learn(Job j) {
    if (known.add(j)) {
      seen.merge(j.spec().jobClass(), 1, Integer::sum);
    }
  }

  public void forget(Job j) {
    known.remove(j);
  }
}
