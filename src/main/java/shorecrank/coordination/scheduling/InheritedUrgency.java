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

/** Computes the priorities and deadlines that jobs inherit from their dependents. */
final class InheritedUrgency {
  /** Upper bound of the inherited deadlines of one job; the earliest are kept. */
  private static final int MAX_DEADLINES = 4;

  /** The priority and the deadlines that a job has through its dependents, earliest first. */
  private record Urgency(Priority priority, List<Deadline> deadlines) {}

  private final StepContext context;
  private final Map<JobId, Job> jobs;
  private final Map<JobId, Set<Job>> dependents;
  private final Map<Job, Urgency> urgencies = new HashMap<>();
  private boolean outdated;
  private boolean cycleLogged;

  /**
   * Creates an instance without any inherited priorities or deadlines.
   *
   * @param jobs a live view of the unfinished jobs of the shard
   * @param dependents a live view of the waiting jobs, by the dependency that they wait for
   */
  InheritedUrgency(StepContext context, Map<JobId, Job> jobs, Map<JobId, Set<Job>> dependents) {
    this.context = context;
    this.jobs = jobs;
    this.dependents = dependents;
  }

  /** Marks the inherited priorities and deadlines as outdated, after a dependency has changed. */
  void invalidate() {
    outdated = true;
  }

  /** Removes a job that has ended or left the shard. */
  void remove(Job job) {
    outdated |= urgencies.remove(job) != null;
  }

  /** Removes all jobs. */
  void clear() {
    urgencies.clear();
  }

  /**
   * Sets the priority of each job to the highest of its own and its transitive dependents', and
   * computes the inherited deadlines. Does nothing if the graph has not changed.
   *
   * @param ownDeadlines returns the deadlines of a job without the inherited ones
   * @param durationMs returns the milliseconds that a job takes once it is ready
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

  /** Returns the deadlines that the job inherits from its dependents, the earliest first. */
  List<Deadline> deadlines(Job job) {
    Urgency urgency = urgencies.get(job);
    return urgency == null ? List.of() : urgency.deadlines;
  }

  /** A depth-first traversal of the dependency graph, from jobs to their dependents. */
  private final class Traversal {
    private final Function<Job, List<Deadline>> ownDeadlines;
    private final ToDoubleFunction<Job> durationMs;

    /** The jobs from the start of the traversal to the current one; detects cycles. */
    private final Set<Job> path = new HashSet<>();

    Traversal(Function<Job, List<Deadline>> ownDeadlines, ToDoubleFunction<Job> durationMs) {
      this.ownDeadlines = ownDeadlines;
      this.durationMs = durationMs;
    }

    /**
     * Returns the urgency that a job inherits. A deadline of a dependent is moved earlier by the
     * time that the dependent takes, at each step along the chain.
     */
    Urgency urgency(Job job) {
      Urgency computed = urgencies.get(job);
      if (computed != null) {
        return computed;
      }
      if (!path.add(job)) {
        logCycle(job);
        return new Urgency(job.spec().priority(), List.of());
      }
      Priority highest = job.spec().priority();
      List<Deadline> deadlines = new ArrayList<>();
      for (Job dependent : dependents.getOrDefault(job.id(), Set.of())) {
        Urgency dependentUrgency = urgency(dependent);
        highest =
            dependentUrgency.priority.compareTo(highest) < 0 ? dependentUrgency.priority : highest;
        addDeadlines(dependent, dependentUrgency, deadlines);
      }
      path.remove(job);
      deadlines.sort(Comparator.comparingDouble(Deadline::atMs));
      int kept = Math.min(MAX_DEADLINES, deadlines.size());
      Urgency urgency = new Urgency(highest, List.copyOf(deadlines.subList(0, kept)));
      urgencies.put(job, urgency);
      return urgency;
    }

    private void addDeadlines(Job dependent, Urgency dependentUrgency, List<Deadline> deadlines) {
      double duration = durationMs.applyAsDouble(dependent);
      for (Deadline own : ownDeadlines.apply(dependent)) {
        deadlines.add(new Deadline(own.atMs() - duration, own.jobClass()));
      }
      for (Deadline inherited : dependentUrgency.deadlines) {
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
