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
import shorecrank.coordination.model.Job;
import shorecrank.coordination.scheduling.ServiceObjectives.Target;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.JobSpec.Priority;

/**
 * The order in which queued jobs get room.
 *
 * <p>First come jobs that have waited long without a first task. Then those that can still reach an
 * objective of their class, by the latest start that reaches it; but where the fleet can't serve
 * them all in time, the job that asks for the most work for what it counts is deferred until the
 * others can be served. Objectives are shares of a class's jobs, so a job counts for the less the
 * more jobs its class has, and for more by the number of its class's objectives and by its
 * priority. The rest follows by priority and least work left.
 */
public final class SchedulingQueue {
  /** A job without a single task after so many seconds goes first, whatever its size. */
  static final double OVERDUE_AFTER_S = 120;

  /**
   * Of an overdue job only one task in so many goes first, so that one large job does not stop all
   * others.
   */
  public static final int OVERDUE_FRACTION = 8;

  /**
   * Estimates are often wrong by half: a job is given up on only when this share of its run is too
   * long.
   */
  private static final double LEAST_RUN_SHARE = 0.5;

  /** Tasks of a job differ, and its last one counts: it takes so many times the estimate. */
  private static final double LAST_TASK_FACTOR = 1.3;

  /**
   * Work within its team's guarantee waits for nobody, but lets closer objectives go first for so
   * many seconds.
   */
  private static final double GUARANTEED_START_S = 2;

  /**
   * A job that asks for so many times less than others do for what it counts goes before them: it
   * hardly delays them.
   */
  private static final double SMALL_JOB_FACTOR = 8;

  /** The least values that estimates and rates are taken for. */
  private static final double LEAST_FETCH_GB_PER_S = 0.01;

  private static final double LEAST_RUN_S = 0.5;
  private static final double LEAST_CPUS = 0.1;

  /** How fast machines fetch images until one has been seen. */
  private static final double DEFAULT_FETCH_GB_PER_S = 0.2;

  /** The latest start of a job that can't reach any objective, or has none. */
  private static final double NO_START = Double.MAX_VALUE;

  private static final Comparator<Job> OLDEST_FIRST =
      Comparator.comparingLong((Job job) -> job.acceptedAtMs()).thenComparing(Job::id);

  private static final Comparator<Candidate> EARLIEST_START_FIRST =
      Comparator.comparingDouble(Candidate::latestStartS)
          .thenComparing(candidate -> candidate.job().id());

  private static final Comparator<Candidate> MOST_WORK_FIRST =
      Comparator.comparingDouble(candidate -> -candidate.workByWeight());

  private static final Comparator<Job> BY_PRIORITY_AND_WORK =
      Comparator.<Job, Priority>comparing(job -> job.scheduling().priority())
          .thenComparingDouble(Job::remainingCpuSeconds)
          .thenComparing(Job::id);

  /**
   * A job that can reach an objective, in one sorting.
   *
   * @param latestStartS the latest start that reaches it, in seconds from now
   * @param durationS seconds from its start to its end
   * @param work processor seconds of its queued tasks
   * @param weight what it counts
   * @param guaranteed whether it is within its team's guarantee
   */
  private record Candidate(
      Job job,
      double latestStartS,
      double durationS,
      double work,
      double weight,
      boolean guaranteed) {
    double workByWeight() {
      return work / weight;
    }
  }

  /** What goes before the end of a job, in seconds: fetch of the image, command, run. */
  private record Duration(double fetchS, double commandS, double runS) {
    double latestStart(double leftS) {
      return leftS - fetchS - commandS - runS * LAST_TASK_FACTOR;
    }

    boolean mayEndWithin(double leftS) {
      return leftS >= fetchS + commandS + runS * LEAST_RUN_SHARE;
    }

    double totalS() {
      return runS * LAST_TASK_FACTOR + fetchS + commandS;
    }
  }

  private final StepContext context;
  private final ServiceObjectives objectives;
  private final TeamGuarantees guarantees;
  private final DependencyGraph dependencies;

  /** How many jobs of a class there were; objectives are shares of them. */
  private final Map<String, Integer> jobsByClass = new HashMap<>();

  private final Set<Job> countedJobs = new HashSet<>();

  /** How fast the fleet's machines fetch images, as last seen. */
  private double lastFetchGbPerS = DEFAULT_FETCH_GB_PER_S;

  /** A queue of the jobs whose dependencies {@code dependencies} holds. */
  public SchedulingQueue(StepContext context, DependencyGraph dependencies) {
    this.context = context;
    this.dependencies = dependencies;
    this.objectives = new ServiceObjectives(context.config().objectives());
    this.guarantees = new TeamGuarantees(context.config().teams());
  }

  /** Whether users of the job's class wait for the start of its tasks. */
  public boolean hasStartTarget(JobSpec spec) {
    return objectives.hasStartTarget(spec);
  }

  /** The service-level objectives that the order follows. */
  ServiceObjectives objectives() {
    return objectives;
  }

  /** Whether a job has waited so long without a single task that it goes first. */
  public static boolean isOverdue(Job job, long wallMs) {
    return !job.tasks().wasPlaced()
        && job.tasks().doneCount() == 0
        && job.scheduling().isReady()
        && job.readyForS(wallMs) > OVERDUE_AFTER_S;
  }

  /**
   * Brings up to date what the order follows beside the jobs' own objectives: the guarantees of
   * teams, and the priorities and deadlines of dependent jobs.
   *
   * @param jobs all unfinished jobs of the shard
   */
  public void updateUrgency(Collection<Job> jobs) {
    guarantees.mark(jobs);
    dependencies.updateUrgency(this::ownDeadlines, this::durationMs);
  }

  /** Sorts jobs by who gets room first, and notes on each how soon it must get it. */
  public List<Job> sort(Collection<Job> queued, FleetCapacity capacity) {
    long wallMs = context.wallMs();
    if (capacity.fetchGbPerS() > 0) {
      lastFetchGbPerS = capacity.fetchGbPerS();
    }
    List<Job> overdue = new ArrayList<>();
    List<Candidate> candidates = new ArrayList<>();
    List<Job> rest = new ArrayList<>();
    for (Job job : queued) {
      countInClass(job);
      if (isOverdue(job, wallMs)) {
        overdue.add(job);
        job.scheduling().setSlackS(0);
        continue;
      }
      Candidate candidate = candidate(job, capacity.fetchGbPerS(), wallMs);
      if (candidate == null) {
        rest.add(job);
        job.scheduling().setSlackS(NO_START);
      } else {
        candidates.add(candidate);
        job.scheduling().setSlackS(candidate.latestStartS());
      }
    }
    overdue.sort(OLDEST_FIRST);
    candidates.sort(EARLIEST_START_FIRST);
    List<Job> order = new ArrayList<>(queued.size());
    order.addAll(overdue);
    addInTime(candidates, deferred(candidates, capacity), order, rest);
    rest.sort(BY_PRIORITY_AND_WORK);
    order.addAll(rest);
    return order;
  }

  /**
   * The jobs that step back for others, by Moore and Hodgson's rule: whenever the jobs so far can't
   * all be in time, the one with the most work steps back. Guaranteed ones never do.
   */
  private static Set<Job> deferred(List<Candidate> byStart, FleetCapacity capacity) {
    PriorityQueue<Candidate> kept = new PriorityQueue<>(MOST_WORK_FIRST);
    Set<Job> deferred = new HashSet<>();
    double work = capacity.runningWork();
    for (Candidate candidate : byStart) {
      work += candidate.work();
      if (candidate.guaranteed()) {
        continue;
      }
      kept.add(candidate);
      double endS = Math.max(0, candidate.latestStartS()) + candidate.durationS();
      while (!kept.isEmpty() && capacity.secondsToClear(work) > endS) {
        Candidate largest = kept.poll();
        work -= largest.work();
        deferred.add(largest.job());
        if (largest == candidate) {
          break;
        }
      }
    }
    return deferred;
  }

  /** Adds candidates to the order, small ones first; deferred ones go to the rest. */
  private static void addInTime(
      List<Candidate> byStart, Set<Job> deferred, List<Job> order, List<Job> rest) {
    double most = 0;
    for (Candidate candidate : byStart) {
      most = Math.max(most, candidate.workByWeight());
    }
    List<Job> large = new ArrayList<>();
    for (Candidate candidate : byStart) {
      Job job = candidate.job();
      if (deferred.contains(job)) {
        rest.add(job);
        job.scheduling().setSlackS(NO_START);
      } else if (candidate.workByWeight() * SMALL_JOB_FACTOR < most) {
        order.add(job);
      } else {
        large.add(job);
      }
    }
    order.addAll(large);
  }

  /** Null if the job can't reach an objective any more, or has none. */
  private Candidate candidate(Job job, double fetchGbPerS, long wallMs) {
    Duration duration = duration(job, fetchGbPerS);
    double latestStartS = NO_START;
    for (Target target : objectives.targets(job.spec().jobClass())) {
      latestStartS = Math.min(latestStartS, latestStartS(target, job, duration, wallMs));
    }
    double weight = weight(job.spec().jobClass());
    for (Deadline deadline : dependencies.inheritedDeadlines(job)) {
      double leftS = (deadline.atMs() - wallMs) / 1000;
      if (duration.mayEndWithin(leftS)) {
        latestStartS = Math.min(latestStartS, duration.latestStart(leftS));
        weight = Math.max(weight, weight(deadline.jobClass()));
      }
    }
    if (job.scheduling().isWithinGuarantee()) {
      latestStartS = Math.min(latestStartS, GUARANTEED_START_S - job.readyForS(wallMs));
    }
    if (latestStartS == NO_START) {
      return null;
    }
    weight *= priorityWeight(job.scheduling().priority());
    double taskS = duration.runS() + duration.fetchS();
    double work = job.queuedTaskCount() * Math.max(LEAST_CPUS, job.spec().cpus()) * taskS;
    return new Candidate(
        job, latestStartS, duration.totalS(), work, weight, job.scheduling().isWithinGuarantee());
  }

  /** The latest start that reaches the target, in seconds from now; NO_START if none does. */
  private static double latestStartS(Target target, Job job, Duration duration, long wallMs) {
    // But for deadlines, times count from when the last job that it depends on was done.
    double waitedS = job.readyForS(wallMs);
    if (target instanceof Target.Start start) {
      // The image may be there and the machine's heartbeat about to come: given up only once past.
      return waitedS >= start.withinS()
          ? NO_START
          : start.withinS() - duration.fetchS() - duration.commandS() - waitedS;
    }
    Target.End end = (Target.End) target;
    if (end.isRelativeToDeadline() && !job.spec().hasDeadline()) {
      return NO_START;
    }
    double leftS =
        end.isRelativeToDeadline()
            ? job.spec().deadlineS() * end.deadlineFactor() - job.ageS(wallMs)
            : end.withinS() - waitedS;
    return duration.mayEndWithin(leftS) ? duration.latestStart(leftS) : NO_START;
  }

  private Duration duration(Job job, double fetchGbPerS) {
    return new Duration(
        job.spec().imageGb() / Math.max(LEAST_FETCH_GB_PER_S, fetchGbPerS),
        // On average a command waits for half the time between two heartbeats.
        context.config().workers().reportS() / 2,
        Math.max(LEAST_RUN_S, job.spec().estimateS()));
  }

  /** What a job of the class counts for: objectives are shares of a class's jobs. */
  private double weight(String jobClass) {
    return (double) Math.max(1, objectives.targets(jobClass).size())
        / Math.max(1, jobsByClass.getOrDefault(jobClass, 1));
  }

  private static double priorityWeight(Priority priority) {
    return switch (priority) {
      case PROD -> 4;
      case URGENT -> 2;
      case NORMAL -> 1.4;
      case LOW -> 1;
    };
  }

  /** The deadlines of the job's own, on the wall clock. */
  private List<Deadline> ownDeadlines(Job job) {
    return objectives.deadlines(job.spec(), job.acceptedAtMs());
  }

  /** Milliseconds that a job takes from when it is ready, by its owner's estimate. */
  private double durationMs(Job job) {
    Duration duration = duration(job, lastFetchGbPerS);
    return 1000 * (duration.fetchS() + duration.commandS() + duration.runS() * LAST_TASK_FACTOR);
  }

  private void countInClass(Job job) {
    if (countedJobs.add(job)) {
      jobsByClass.merge(job.spec().jobClass(), 1, Integer::sum);
    }
  }

  /** The job has ended or left the shard. */
  public void forget(Job job) {
    countedJobs.remove(job);
  }
}
