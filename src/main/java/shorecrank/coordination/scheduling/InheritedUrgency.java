package shorecrank.coordination.scheduling;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.JobSpec.Priority;

/** Computes the priorities and deadlines that jobs inherit from their dependents. */
final class InheritedUrgency {
  /** Upper bound of the inherited deadlines of one job; the earliest are kept. */
  private static final int MAX_DEADLINES = 4;

  /**
   * After an update, the next one is due once a millisecond has passed for so many dependencies, so
   * that a graph of any size leaves most of the processor time to other work.
   */
  private static final int DEPENDENCIES_PER_PAUSE_MS = 20;

  /**
   * What a job inherits from its dependents.
   *
   * @param priority the highest priority of the job and its transitive dependents
   * @param deadlines the deadlines that the job inherits, earliest first
   * @param passedOn the deadlines that the job's dependencies inherit from it, earliest first
   */
  private record Urgency(Priority priority, List<Deadline> deadlines, List<Deadline> passedOn) {}

  private final StepContext context;
  private final Map<JobId, Job> jobs;
  private final Map<JobId, Set<Job>> dependents;
  private final Map<Job, Urgency> urgencies = new HashMap<>();
  private boolean outdated;
  private MonotonicTime nextUpdateAt = MonotonicTime.NEVER;
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
   * computes the inherited deadlines. Does nothing if the graph has not changed, or too soon after
   * the last update of a large graph.
   *
   * @param ownDeadlines returns the deadlines of a job without the inherited ones
   * @param durationMs returns the milliseconds that a job takes once it is ready
   */
  void update(Function<Job, List<Deadline>> ownDeadlines, ToDoubleFunction<Job> durationMs) {
    if (!outdated || context.now().isBefore(nextUpdateAt)) {
      return;
    }
    outdated = false;
    urgencies.clear();
    Traversal traversal = new Traversal(ownDeadlines, durationMs);
    for (JobId dependency : List.copyOf(dependents.keySet())) {
      Job job = jobs.get(dependency);
      if (job != null) {
        traversal.visitFrom(job);
      }
    }
    jobs.values().forEach(job -> job.scheduling().setPriority(priority(job)));
    nextUpdateAt = context.now().plus(traversal.dependencies / DEPENDENCIES_PER_PAUSE_MS);
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

  /** A job on the current path of a traversal, and its dependents that are still to be visited. */
  private record Visit(Job job, Iterator<Job> unvisited) {}

  /**
   * A depth-first traversal of the dependency graph, from jobs to their dependents. It keeps its
   * path on the heap, since users choose the depth of the graph.
   */
  private final class Traversal {
    private final Function<Job, List<Deadline>> ownDeadlines;
    private final ToDoubleFunction<Job> durationMs;

    /** The jobs from the start of the traversal to the current one. */
    private final ArrayDeque<Visit> path = new ArrayDeque<>();

    /** The jobs of {@link #path}; detects cycles. */
    private final Set<Job> onPath = new HashSet<>();

    /** The number of dependencies that were followed. */
    private long dependencies;

    Traversal(Function<Job, List<Deadline>> ownDeadlines, ToDoubleFunction<Job> durationMs) {
      this.ownDeadlines = ownDeadlines;
      this.durationMs = durationMs;
    }

    /** Computes the urgency of a job and its transitive dependents, the dependents first. */
    void visitFrom(Job start) {
      begin(start);
      while (!path.isEmpty()) {
        Visit current = path.peekLast();
        if (current.unvisited.hasNext()) {
          begin(current.unvisited.next());
        } else {
          path.removeLast();
          onPath.remove(current.job);
          urgencies.put(current.job, inheritedUrgency(current.job));
        }
      }
    }

    private void begin(Job job) {
      if (urgencies.containsKey(job)) {
        return;
      }
      if (onPath.add(job)) {
        path.addLast(new Visit(job, dependentsOf(job).iterator()));
      } else {
        logCycle(job);
      }
    }

    private Set<Job> dependentsOf(Job job) {
      return dependents.getOrDefault(job.id(), Set.of());
    }

    /** Returns the urgency that a job inherits from its dependents, whose own are computed. */
    private Urgency inheritedUrgency(Job job) {
      Priority highest = job.spec().priority();
      List<Deadline> deadlines = new ArrayList<>(MAX_DEADLINES + 1);
      for (Job dependent : dependentsOf(job)) {
        dependencies++;
        Urgency inherited = computedUrgency(dependent);
        highest = inherited.priority.compareTo(highest) < 0 ? inherited.priority : highest;
        inherited.passedOn.forEach(deadline -> keepEarliest(deadlines, deadline));
      }
      return new Urgency(highest, deadlines, passedOn(job, deadlines));
    }

    private Urgency computedUrgency(Job dependent) {
      Urgency computed = urgencies.get(dependent);
      if (computed != null) {
        return computed;
      }
      // A cycle: the job counts with what is its own.
      return new Urgency(dependent.spec().priority(), List.of(), passedOn(dependent, List.of()));
    }

    /** Returns a job's deadlines, moved earlier by the time that the job takes. */
    private List<Deadline> passedOn(Job job, List<Deadline> inherited) {
      List<Deadline> own = ownDeadlines.apply(job);
      if (own.isEmpty() && inherited.isEmpty()) {
        return List.of();
      }
      double duration = durationMs.applyAsDouble(job);
      List<Deadline> earliest = new ArrayList<>(MAX_DEADLINES + 1);
      own.forEach(deadline -> keepEarliest(earliest, earlier(deadline, duration)));
      inherited.forEach(deadline -> keepEarliest(earliest, earlier(deadline, duration)));
      return earliest;
    }
  }

  private static Deadline earlier(Deadline deadline, double byMs) {
    return new Deadline(deadline.atMs() - byMs, deadline.jobClass());
  }

  /** Inserts a deadline into a sorted list of at most {@link #MAX_DEADLINES} of them. */
  private static void keepEarliest(List<Deadline> earliest, Deadline deadline) {
    int index = earliest.size();
    while (index > 0 && earliest.get(index - 1).atMs() > deadline.atMs()) {
      index--;
    }
    if (index < MAX_DEADLINES) {
      earliest.add(index, deadline);
    }
    if (earliest.size() > MAX_DEADLINES) {
      earliest.remove(MAX_DEADLINES);
    }
  }

  private void logCycle(Job job) {
    if (!cycleLogged) {
      context.error("dependency.cycle job=%s", job.id());
      cycleLogged = true;
    }
  }
}
