package shorecrank.coordination.scheduling;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import shorecrank.coordination.model.CancellationLog;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.UserMessages.JobState;

/**
 * The unmet dependencies of a shard's jobs.
 *
 * <p>A job is ready once each of its dependencies is recorded as done: by a committed write of this
 * shard owner, or in a final record that was read, which never changes. A job is cancelled if one
 * of its dependencies is. Dependencies can be jobs of other shards; their cancellation and end are
 * found in the state service.
 */
public final class DependencyGraph {
  private final StepContext context;
  private final Map<JobId, Job> jobs;
  private final CancellationLog cancellations;
  private final Consumer<Job> cancelJob;
  private final DependencyLookups lookups;
  private final InheritedUrgency urgency;

  /** The waiting jobs of the shard, by the dependency that they wait for. */
  private final Map<JobId, Set<Job>> dependents = new HashMap<>();

  /**
   * Creates an empty graph.
   *
   * @param jobs a live view of the unfinished jobs of the shard
   * @param cancelJob cancels a job that has a cancelled dependency; the graph itself goes on to the
   *     job's dependents
   */
  public DependencyGraph(
      StepContext context,
      Map<JobId, Job> jobs,
      CancellationLog cancellations,
      Consumer<Job> cancelJob) {
    this.context = context;
    this.jobs = jobs;
    this.cancellations = cancellations;
    this.cancelJob = cancelJob;
    this.lookups = new DependencyLookups(context, this::onCancelledElsewhere, this::onJobEnded);
    this.urgency = new InheritedUrgency(context, jobs, dependents);
  }

  /** Adds a job with its unmet dependencies, or cancels it if one of them is cancelled. */
  public void add(Job job) {
    for (JobId dependency : List.copyOf(job.scheduling().unmetDependencies())) {
      if (cancellations.isCancelled(dependency)) {
        if (cancel(job)) {
          onJobCancelled(job.id());
        }
        return;
      }
      dependents.computeIfAbsent(dependency, id -> new LinkedHashSet<>()).add(job);
      urgency.invalidate();
      if (!jobs.containsKey(dependency)) {
        lookups.add(dependency);
      }
    }
  }

  /** Removes a job that has ended or left the shard; its dependents continue to wait. */
  public void remove(Job job) {
    urgency.remove(job);
    for (JobId dependency : job.scheduling().unmetDependencies()) {
      Set<Job> waiting = dependents.get(dependency);
      if (waiting != null && waiting.remove(job) && waiting.isEmpty()) {
        dependents.remove(dependency);
      }
    }
  }

  /** Removes all jobs. */
  public void clear() {
    dependents.clear();
    lookups.clear();
    urgency.clear();
  }

  /**
   * Handles the final record of a dependency: the dependents become ready or are cancelled.
   *
   * @param state the state in which the job {@code id} ended
   */
  public void onJobEnded(JobId id, JobState state) {
    lookups.remove(id);
    if (state != JobState.DONE) {
      onJobCancelled(id);
      return;
    }
    Set<Job> waiting = dependents.remove(id);
    if (waiting == null) {
      return;
    }
    urgency.invalidate();
    for (Job job : waiting) {
      if (job.scheduling().recordDependencyMet(id, context.wallMs())) {
        context.count("job.ready");
      }
    }
  }

  /** Handles the deletion of a live record, of any shard: looks up how the job has ended. */
  public void onRecordDeleted(JobId id) {
    if (dependents.containsKey(id)) {
      lookups.addImmediate(id);
    }
  }

  /**
   * Cancels the transitive dependents of a job that is cancelled for good: its record has a
   * committed cancellation mark, or one of its dependencies is cancelled for good. The loop takes
   * the same stack for any depth of the graph, which users choose.
   */
  public void onJobCancelled(JobId id) {
    ArrayDeque<JobId> pending = new ArrayDeque<>(List.of(id));
    while (!pending.isEmpty()) {
      for (Job job : removeDependents(pending.poll())) {
        if (cancel(job)) {
          pending.add(job.id());
        }
      }
    }
  }

  private Set<Job> removeDependents(JobId id) {
    Set<Job> waiting = dependents.remove(id);
    return waiting == null ? Set.of() : waiting;
  }

  private void onCancelledElsewhere(JobId id) {
    cancellations.recordCancelled(id);
    onJobCancelled(id);
  }

  /**
   * Cancels a job that has a cancelled dependency, but not its dependents.
   *
   * @return false if the job was already cancelled
   */
  private boolean cancel(Job job) {
    if (job.isCancelled()) {
      return false;
    }
    // The dependencies of a job never change, so a job with a cancelled dependency is cancelled for
    // good, like one whose record has a committed cancellation mark.
    cancellations.recordCancelled(job.id());
    cancelJob.accept(job);
    urgency.invalidate();
    return true;
  }

  /** Sends lookups of dependencies whose state is not known, a few at a time. */
  public void tick() {
    lookups.tick(dependents::containsKey);
  }

  /** Returns a check of jobs' dependencies, valid until the graph or a job changes. */
  public DependencyCheck newCheck() {
    return new DependencyCheck(jobs, dependents);
  }

  /**
   * Updates inherited priorities and deadlines if the graph has changed.
   *
   * @param ownDeadlines returns the deadlines of a job without the inherited ones
   * @param durationMs returns the milliseconds that a job takes once it is ready
   */
  void updateUrgency(Function<Job, List<Deadline>> ownDeadlines, ToDoubleFunction<Job> durationMs) {
    urgency.update(ownDeadlines, durationMs);
  }

  /** Returns the deadlines that the job inherits from its dependents, the earliest first. */
  List<Deadline> inheritedDeadlines(Job job) {
    return urgency.deadlines(job);
  }
}
