package shorecrank.coordination.scheduling;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
 * Which of a shard's jobs wait for which others, from their records.
 *
 * <p>A job is ready once each job that it depends on is recorded as done: by a write of this owner
 * that was committed, or by a read of the final record, which never changes. Where one of them is
 * cancelled, so is the job. Dependencies may be jobs of another shard: their marks and ends are
 * seen in the store.
 */
public final class DependencyGraph {
  private final StepContext context;
  private final Map<JobId, Job> jobs;
  private final CancellationLog cancellations;
  private final Consumer<Job> cancelJob;
  private final DependencyLookups lookups;
  private final InheritedUrgency urgency;

  /** Jobs that wait, by what they wait for. */
  private final Map<JobId, Set<Job>> dependents = new HashMap<>();

  /**
   * A graph without edges.
   *
   * @param jobs a live view of the jobs of the shard
   * @param cancelJob cancels a job that depends on a cancelled one
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
    this.lookups = new DependencyLookups(context, this::cancelledElsewhere, this::onJobEnded);
    this.urgency = new InheritedUrgency(context, jobs, dependents);
  }

  /** Adds a job with the dependencies that it still has; cancels it if one is cancelled. */
  public void add(Job job) {
    for (JobId dependency : List.copyOf(job.scheduling().unmetDependencies())) {
      if (cancellations.isKnown(dependency)) {
        cancel(job);
        return;
      }
      dependents.computeIfAbsent(dependency, id -> new LinkedHashSet<>()).add(job);
      urgency.invalidate();
      if (!jobs.containsKey(dependency)) {
        lookups.add(dependency);
      }
    }
  }

  /** A job of the shard has ended or left it; jobs that wait for it go on waiting. */
  public void remove(Job job) {
    urgency.forget(job);
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

  /** A job's final record is there, with the state in which it ended. */
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
      if (job.scheduling().dependencyMet(id, context.wallMs())) {
        context.count("job.ready");
      }
    }
  }

  /** The live record of a job, perhaps of another shard, was deleted: it has ended. */
  public void onRecordDeleted(JobId id) {
    if (dependents.containsKey(id)) {
      lookups.addAtOnce(id);
    }
  }

  /** A job is cancelled for good: its committed mark was seen, or it depends on one that is. */
  public void onJobCancelled(JobId id) {
    Set<Job> waiting = dependents.remove(id);
    if (waiting != null) {
      List.copyOf(waiting).forEach(this::cancel);
    }
  }

  private void cancelledElsewhere(JobId id) {
    cancellations.recordCancelled(id);
    onJobCancelled(id);
  }

  private void cancel(Job job) {
    if (job.isCancelled()) {
      return;
    }
    // Its record names the dependency for good, so this is as final as the mark itself.
    cancellations.recordCancelled(job.id());
    cancelJob.accept(job);
    urgency.invalidate();
    onJobCancelled(job.id());
  }

  /** Looks up the jobs waited for whose state is not known, a few at a time. */
  public void tick() {
    lookups.tick(dependents::containsKey);
  }

  /**
   * All jobs whose cancellation would be this job's too.
   *
   * @return empty if one of them is not of this shard, or if there are more than {@code most}
   */
  public Optional<Collection<Job>> transitiveDependencies(Job job, int most) {
    Set<Job> all = new LinkedHashSet<>();
    ArrayDeque<Job> open = new ArrayDeque<>(List.of(job));
    while (!open.isEmpty()) {
      for (JobId id : open.poll().scheduling().unmetDependencies()) {
        Job dependency = jobs.get(id);
        if (dependency == null) {
          return Optional.empty();
        }
        if (all.add(dependency)) {
          open.add(dependency);
        }
        if (all.size() > most) {
          return Optional.empty();
        }
      }
    }
    return Optional.of(all);
  }

  /**
   * Brings inherited priorities and deadlines up to date, if the graph has changed.
   *
   * @param ownDeadlines the deadlines of a job's own
   * @param durationMs what a job takes once it is ready
   */
  void updateUrgency(Function<Job, List<Deadline>> ownDeadlines, ToDoubleFunction<Job> durationMs) {
    urgency.update(ownDeadlines, durationMs);
  }

  /** When the job must have ended for the sake of its dependents, the closest first. */
  List<Deadline> inheritedDeadlines(Job job) {
    return urgency.deadlines(job);
  }
}
