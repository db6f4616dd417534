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
 * Determines the order in which queued jobs are placed.
 *
 * <p>Starving jobs come first: those that have waited long without a single task placed. Next come
 * jobs that can still meet an objective, by the latest start that meets it. If the fleet can't
 * serve all of these in time, those with the most work per weight are deferred until the others can
 * be served. An objective is a percentage of the jobs of a class, so the weight of a job falls with
 * the number of jobs in its class; it rises with the number of the class's objectives and with the
 * job's priority. All remaining jobs follow, by priority and then by least work.
 */
public final class SchedulingQueue {
  /** A job of which no task was ever placed is starving once it has been ready for this long. */
  static final double STARVING_AFTER_S = 120;

  /**
   * Only one in this many tasks of a starving job is placed first, so that one large job does not
   * block all others.
   */
  public static final int STARVING_JOB_DIVISOR = 8;

  /**
   * A job can still meet a deadline if this fraction of its estimated run fits before it, since
   * estimates are often wrong by half.
   */
  private static final double MIN_RUN_FRACTION = 0.5;

  /** A job ends with its slowest task, which is assumed to run this many times the estimate. */
  private static final double LAST_TASK_FACTOR = 1.3;

  /**
   * A job within its team's guarantee should start this many seconds after it is ready; only jobs
   * with an earlier latest start go before it.
   */
  private static final double GUARANTEED_START_WITHIN_S = 2;

  /**
   * A job goes before others if the largest job has more than this many times its work per weight:
   * such a small job hardly delays them.
   */
  private static final double SMALL_JOB_FACTOR = 8;

  /** Lower bound of the average image fetch rate, in gigabytes per second. */
  private static final double MIN_FETCH_GB_PER_S = 0.01;

  /** Lower bound of a task's estimated run, in seconds. */
  private static final double MIN_RUN_S = 0.5;

  /** Lower bound of the processors of a task. */
  private static final double MIN_CPUS = 0.1;

  /** The image fetch rate assumed until the shard has a running machine. */
  private static final double DEFAULT_FETCH_GB_PER_S = 0.2;

  /** The latest start of a job that can't meet any objective, or has none. */
  private static final double NO_LATEST_START = Double.MAX_VALUE;

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
   * A job that can still meet an objective.
   *
   * @param latestStartS the latest start that meets the objective, in seconds from now
   * @param durationS seconds from the start to the end of the job
   * @param work processor seconds of the job's queued tasks
   * @param weight the weight of the job against other jobs
   * @param guaranteed whether the job is within its team's guarantee
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

  /**
   * The phases from the start of a job to its end.
   *
   * @param fetchS seconds to fetch the image
   * @param commandS seconds until the worker gets the start command
   * @param runS estimated seconds that a task runs
   */
  private record JobDuration(double fetchS, double commandS, double runS) {
    double latestStartS(double leftS) {
      return leftS - fetchS - commandS - runS * LAST_TASK_FACTOR;
    }

    boolean mayEndWithin(double leftS) {
      return leftS >= fetchS + commandS + runS * MIN_RUN_FRACTION;
    }

    double totalS() {
      return runS * LAST_TASK_FACTOR + fetchS + commandS;
    }
  }

  private final StepContext context;
  private final ServiceObjectives objectives;
  private final TeamGuarantees guarantees;
  private final DependencyGraph dependencies;

  /** The number of jobs counted so far, by class. */
  private final Map<String, Integer> jobsByClass = new HashMap<>();

  /** The jobs of the shard that are counted in {@link #jobsByClass}. */
  private final Set<Job> countedJobs = new HashSet<>();

  /** The last known average rate at which the fleet's machines fetch images. */
  private double lastFetchGbPerS = DEFAULT_FETCH_GB_PER_S;

  /**
   * Creates the queue of one shard.
   *
   * @param dependencies the dependencies of the shard's jobs
   */
  public SchedulingQueue(StepContext context, DependencyGraph dependencies) {
    this.context = context;
    this.dependencies = dependencies;
    this.objectives = new ServiceObjectives(context.config().objectives());
    this.guarantees = new TeamGuarantees(context.config().teams());
  }

  /** Reports whether the job's class has an objective for the start of its tasks. */
  public boolean hasStartTarget(JobSpec spec) {
    return objectives.hasStartTarget(spec);
  }

  /** Returns the service-level objectives that determine the order. */
  ServiceObjectives objectives() {
    return objectives;
  }

  /** Reports whether a job has waited so long without a single task placed that it goes first. */
  public static boolean isStarving(Job job, long wallMs) {
    return !job.tasks().wasPlaced()
        && job.tasks().doneCount() == 0
        && job.scheduling().isReady()
        && job.readyForS(wallMs) > STARVING_AFTER_S;
  }

  /**
   * Updates the inputs of the order other than the jobs' own objectives: which jobs are within
   * their team's guarantee, and the priorities and deadlines inherited from dependents.
   *
   * @param jobs all unfinished jobs of the shard
   */
  public void updateUrgency(Collection<Job> jobs) {
    guarantees.markGuaranteedJobs(jobs);
    dependencies.updateUrgency(this::ownDeadlines, this::durationMs);
  }

  /**
   * Returns the jobs in the order of placement, and sets the slack of each: the seconds left until
   * its latest start.
   */
  public List<Job> sort(Collection<Job> queued, FleetCapacity capacity) {
    long wallMs = context.wallMs();
    if (capacity.fetchGbPerS() > 0) {
      lastFetchGbPerS = capacity.fetchGbPerS();
    }
    List<Job> starving = new ArrayList<>();
    List<Candidate> candidates = new ArrayList<>();
    List<Job> rest = new ArrayList<>();
    for (Job job : queued) {
      countInClass(job);
      if (isStarving(job, wallMs)) {
        starving.add(job);
        job.scheduling().setSlackS(0);
        continue;
      }
      Candidate candidate = candidate(job, capacity.fetchGbPerS(), wallMs);
      if (candidate == null) {
        rest.add(job);
        job.scheduling().setSlackS(NO_LATEST_START);
      } else {
        candidates.add(candidate);
        job.scheduling().setSlackS(candidate.latestStartS());
      }
    }
    starving.sort(OLDEST_FIRST);
    candidates.sort(EARLIEST_START_FIRST);
    List<Job> order = new ArrayList<>(queued.size());
    order.addAll(starving);
    addCandidates(candidates, deferred(candidates, capacity), order, rest);
    rest.sort(BY_PRIORITY_AND_WORK);
    order.addAll(rest);
    return order;
  }

  /**
   * Returns the jobs to defer, by the Moore-Hodgson algorithm: goes through the candidates by
   * latest start and, whenever those kept so far can't all end in time, defers the one with the
   * most work per weight. Jobs within their team's guarantee are never deferred.
   */
  private static Set<Job> deferred(List<Candidate> byLatestStart, FleetCapacity capacity) {
    PriorityQueue<Candidate> kept = new PriorityQueue<>(MOST_WORK_FIRST);
    Set<Job> deferred = new HashSet<>();
    double work = capacity.runningCpuSeconds();
    for (Candidate candidate : byLatestStart) {
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

  /** Adds candidates to {@code order}, small ones first, and deferred ones to {@code rest}. */
  private static void addCandidates(
      List<Candidate> byLatestStart, Set<Job> deferred, List<Job> order, List<Job> rest) {
    double maxWorkByWeight = 0;
    for (Candidate candidate : byLatestStart) {
      maxWorkByWeight = Math.max(maxWorkByWeight, candidate.workByWeight());
    }
    List<Job> large = new ArrayList<>();
    for (Candidate candidate : byLatestStart) {
      Job job = candidate.job();
      if (deferred.contains(job)) {
        rest.add(job);
        job.scheduling().setSlackS(NO_LATEST_START);
      } else if (candidate.workByWeight() * SMALL_JOB_FACTOR < maxWorkByWeight) {
        order.add(job);
      } else {
        large.add(job);
      }
    }
    order.addAll(large);
  }

  /** Returns the job as a candidate, or null if it can't meet an objective or has none. */
  private Candidate candidate(Job job, double fetchGbPerS, long wallMs) {
    JobDuration duration = duration(job, fetchGbPerS);
    double latestStartS = NO_LATEST_START;
    for (Target target : objectives.targets(job.spec().jobClass())) {
      latestStartS = Math.min(latestStartS, latestStartS(target, job, duration, wallMs));
    }
    double weight = weight(job.spec().jobClass());
    for (Deadline deadline : dependencies.inheritedDeadlines(job)) {
      double leftS = (deadline.atMs() - wallMs) / 1000;
      if (duration.mayEndWithin(leftS)) {
        latestStartS = Math.min(latestStartS, duration.latestStartS(leftS));
        weight = Math.max(weight, weight(deadline.jobClass()));
      }
    }
    if (job.scheduling().isWithinGuarantee()) {
      latestStartS = Math.min(latestStartS, GUARANTEED_START_WITHIN_S - job.readyForS(wallMs));
    }
    if (latestStartS == NO_LATEST_START) {
      return null;
    }
    weight *= priorityWeight(job.scheduling().priority());
    double taskS = duration.runS() + duration.fetchS();
    double work = job.queuedTaskCount() * Math.max(MIN_CPUS, job.spec().cpus()) * taskS;
    return new Candidate(
        job, latestStartS, duration.totalS(), work, weight, job.scheduling().isWithinGuarantee());
  }

  /**
   * Returns the latest start that meets the target, in seconds from now, or {@link
   * #NO_LATEST_START} if the target is missed or does not apply to the job.
   */
  private static double latestStartS(Target target, Job job, JobDuration duration, long wallMs) {
    // Targets count from when the job's last dependency was done, deadlines from its acceptance.
    double waitedS = job.readyForS(wallMs);
    if (target instanceof Target.Start start) {
      // The target is given up only once its time has passed: if a machine holds the image and
      // sends its heartbeat next, the tasks start without delay.
      return waitedS >= start.withinS()
          ? NO_LATEST_START
          : start.withinS() - duration.fetchS() - duration.commandS() - waitedS;
    }
    Target.End end = (Target.End) target;
    if (end.isRelativeToDeadline() && !job.spec().hasDeadline()) {
      return NO_LATEST_START;
    }
    double leftS =
        end.isRelativeToDeadline()
            ? job.spec().deadlineS() * end.deadlineFactor() - job.ageS(wallMs)
            : end.withinS() - waitedS;
    return duration.mayEndWithin(leftS) ? duration.latestStartS(leftS) : NO_LATEST_START;
  }

  private JobDuration duration(Job job, double fetchGbPerS) {
    return new JobDuration(
        job.spec().imageGb() / Math.max(MIN_FETCH_GB_PER_S, fetchGbPerS),
        // On average, a command waits half a heartbeat interval.
        context.config().workers().heartbeatIntervalS() / 2,
        Math.max(MIN_RUN_S, job.spec().estimateS()));
  }

  /** Returns the weight of a job by its class: the number of objectives per job of the class. */
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

  /** Returns the deadlines of the job without the inherited ones. */
  private List<Deadline> ownDeadlines(Job job) {
    return objectives.deadlines(job.spec(), job.acceptedAtMs());
  }

  /** Returns the milliseconds that a job takes once it is ready, by its user's estimate. */
  private double durationMs(Job job) {
    JobDuration duration = duration(job, lastFetchGbPerS);
    return 1000 * (duration.fetchS() + duration.commandS() + duration.runS() * LAST_TASK_FACTOR);
  }

  private void countInClass(Job job) {
    if (countedJobs.add(job)) {
      jobsByClass.merge(job.spec().jobClass(), 1, Integer::sum);
    }
  }

  /** Removes a job that has ended or left the shard; it still counts in its class. */
  public void remove(Job job) {
    countedJobs.remove(job);
  }
}
