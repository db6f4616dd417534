package shorecrank.coordination.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.JobSpec.Priority;

/** The priorities and deadlines that jobs inherit from those that depend on them. */
final class InheritedUrgency {
  /** So many deadlines are kept for one job, the closest first. */
  private static final int MAX_DEADLINES = 4;

  /** What the dependents of a job make of it; the closest deadlines come first. */
  private record Urgency(Priority priority, List<Deadline> deadlines) {}

  private final StepContext context;
  private final Map<JobId, Job> jobs;
  private final Map<JobId, Set<Job>> dependents;
  private final Map<Job, Urgency> urgencies = new HashMap<>();
  private boolean outdated;
  private boolean cycleLogged;

  /**
   * Urgencies in a graph.
   *
   * @param jobs a live view of the jobs of the shard
   * @param dependents a live view of the jobs that wait, by what they wait for
   */
  InheritedUrgency(StepContext context, Map<JobId, Job> jobs, Map<JobId, Set<Job>> dependents) {
    this.context = context;
    this.jobs = jobs;
    this.dependents = dependents;
  }

  /** An edge of the graph has come or gone. */
  void invalidate() {
    outdated = true;
  }

  /** The job has ended or left the shard. */
  void forget(Job job) {
    outdated |= urgencies.remove(job) != null;
  }

  /** Forgets all jobs. */
  void clear() {
    urgencies.clear();
  }

  /**
   * Sets the priority of each job to the highest of its own and those of its dependents.
   *
   * @param ownDeadlines the deadlines of a job's own
   * @param durationMs what a job takes once it is ready
   */
  void update(Function<Job, List<Deadline>> ownDeadlines, ToDoubleFunction<Job> durationMs) {
    if (!outdated) {
      return;
    }
    outdated = false;
    urgencies.clear();
    Traversal traversal = new Traversal(ownDeadlines, durationMs);
    for (JobId dependency : List.copyOf(dependents.keySet())) {
      Job job = jobs.get(dependency);
      if (job != null) {
        traversal.urgency(job);
      }
    }
    jobs.values().forEach(job -> job.scheduling().setPriority(priority(job)));
  }

  private Priority priority(Job job) {
    Urgency urgency = urgencies.get(job);
    return urgency == null ? job.spec().priority() : urgency.priority;
  }

  /** When the job must have ended for the sake of its dependents, the closest first. */
  List<Deadline> deadlines(Job job) {
    Urgency urgency = urgencies.get(job);
    return urgency == null ? List.of() : urgency.deadlines;
  }

  /** One walk over the graph, depth first, along the chains of dependents. */
  private final class Traversal {
    private final Function<Job, List<Deadline>> ownDeadlines;
    private final ToDoubleFunction<Job> durationMs;

    /** The jobs from the walk's start to where it is. */
    private final Set<Job> path = new HashSet<>();

    Traversal(Function<Job, List<Deadline>> ownDeadlines, ToDoubleFunction<Job> durationMs) {
      this.ownDeadlines = ownDeadlines;
      this.durationMs = durationMs;
    }

    /** By the critical path of each chain: what follows has to fit in before its deadline. */
    Urgency urgency(Job job) {
      Urgency known = urgencies.get(job);
      if (known != null) {
        return known;
      }
      if (!path.add(job)) {
        logCycle(job);
        return new Urgency(job.spec().priority(), List.of());
      }
      Priority highest = job.spec().priority();
      List<Deadline> deadlines = new ArrayList<>();
      for (Job dependent : dependents.getOrDefault(job.id(), Set.of())) {
        Urgency behind = urgency(dependent);
        highest = behind.priority.compareTo(highest) < 0 ? behind.priority : highest;
        addDeadlines(dependent, behind, deadlines);
      }
      path.remove(job);
      deadlines.sort(Comparator.comparingDouble(Deadline::atMs));
      int kept = Math.min(MAX_DEADLINES, deadlines.size());
      Urgency urgency = new Urgency(highest, List.copyOf(deadlines.subList(0, kept)));
      urgencies.put(job, urgency);
      return urgency;
    }

    private void addDeadlines(Job dependent, Urgency behind, List<Deadline> deadlines) {
      double duration = durationMs.applyAsDouble(dependent);
      for (Deadline own : ownDeadlines.apply(dependent)) {
        deadlines.add(new Deadline(own.atMs() - duration, own.jobClass()));
      }
      for (Deadline inherited : behind.deadlines) {
        deadlines.add(new Deadline(inherited.atMs() - duration, inherited.jobClass()));
      }
    }
  }

  private void logCycle(Job job) {
    if (!cycleLogged) {
      context.error("dependency.cycle job=%s", job.id());
      cycleLogged = true;
    }
  }
}
