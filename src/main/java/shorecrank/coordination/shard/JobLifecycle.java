package shorecrank.coordination.shard;

import java.util.ArrayList;
import java.util.Set;
import shorecrank.coordination.model.CancellationLog;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.JobRecordState;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.model.WriteUrgency;
import shorecrank.coordination.scheduling.DependencyGraph;
import shorecrank.coordination.scheduling.SchedulingQueue;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.storage.JobRecord;
import shorecrank.storage.JobRecord.AttemptRange;

/**
 * Adds jobs to a shard's owner and removes them: jobs are taken over from their records, cancelled,
 * replaced, ended, or relinquished to another owner.
 */
final class JobLifecycle implements WriteOutcomeResolver.JobHandler {
  private final StepContext context;
  private final ShardLease lease;
  private final ShardJobs jobs;
  private final MachineRegistry machines;
  private final DependencyGraph dependencies;
  private final SchedulingQueue queue;
  private final CancellationLog cancellations;
  private final PlacementLog placementLog;

  JobLifecycle(
      StepContext context,
      ShardLease lease,
      ShardJobs jobs,
      MachineRegistry machines,
      DependencyGraph dependencies,
      SchedulingQueue queue,
      CancellationLog cancellations) {
    this.context = context;
    this.lease = lease;
    this.jobs = jobs;
    this.machines = machines;
    this.dependencies = dependencies;
    this.queue = queue;
    this.cancellations = cancellations;
    this.placementLog = new PlacementLog(context);
  }

  // ---- takeover ---------------------------------------------------------------------------------

  /**
   * Takes over a record that was listed when the ownership began. A write that an earlier owner has
   * sent may still be applied and place more tasks of the job, which would count for its team's
   * limit and keep machines from being handed over. If the team has a limit, or machines can be
   * handed over, this owner therefore claims the record at once.
   */
  void addListed(JobRecord record, Revision revision) {
    Job job = add(record, revision, true);
    boolean needsClaim = machines.references().isTracking() || jobs.isLimited(record.spec().team());
    if (needsClaim && !job.record().isClaimed()) {
      job.record().requireClaim();
      job.requestWrite(WriteUrgency.NOW, context.now());
    }
  }

  /** Takes over a record that was written after the listing. */
  void addWatched(JobRecord record, Revision revision) {
    add(record, revision, false);
  }

  private Job add(JobRecord record, Revision revision, boolean othersMayWrite) {
    if (record.cancelled()) {
      cancellations.recordCancelled(record.spec().id());
    }
    Job job = jobs.add(record, revision);
    machines.references().recordRead(job.id(), revision, record, othersMayWrite);
    if (record.epoch().value() > 0) {
      if (lease.isRefusedBy(record)) {
        relinquish(job, record);
        return job;
      }
      // Claims the record before tasks are placed: after the claim, a late write of an earlier
      // owner fails.
      job.requestWrite(WriteUrgency.NOW, context.now());
    }
    adoptAttempts(job, record);
    if (job.isCancelled()) {
      dependencies.onJobCancelled(job.id());
      job.requestWrite(WriteUrgency.NOW, context.now());
    } else {
      dependencies.add(job);
    }
    return job;
  }

  private void adoptAttempts(Job job, JobRecord record) {
    for (AttemptRange range : record.live()) {
      if (machines.isReleased(range.machine())) {
        job.requestWrite(WriteUrgency.LATER, context.now());
        continue;
      }
      Machine machine = machines.machine(range.machine());
      for (int i = range.first(); i < range.first() + range.count(); i++) {
        if (!job.tasks().isDone(i) && job.tasks().attempt(i) == null) {
          jobs.attach(
              new TaskAttempt(
                  job, i, machine, range.incarnation(), range.attempt(), 0, context.now()));
        }
      }
    }
  }

  // ---- removal ----------------------------------------------------------------------------------

  private void remove(Job job) {
    jobs.remove(job);
    queue.remove(job);
    dependencies.remove(job);
  }

  /** Removes all jobs, so that their records can be read again. */
  void removeAll() {
    for (Job job : new ArrayList<>(jobs.all().values())) {
      if (job.isCancelled()) {
        cancellations.recordCancelled(job.id());
      }
      remove(job);
    }
    jobs.clearRelinquished();
    dependencies.clear();
    machines.clearReconciled();
    machines.references().clear();
  }

  /**
   * Cancels a job, since the mark of its cancellation is committed or a job that it depends on is
   * cancelled.
   */
  @Override
  public void onCancelled(Job job) {
    cancel(job);
    dependencies.onJobCancelled(job.id());
  }

  private void cancel(Job job) {
    job.cancel();
    jobs.detachUncommitted(job);
    context.info("job.cancelled job=%s", job.id());
  }

  /**
   * Cancels a job because one that it depends on is cancelled. None of its tasks has been placed,
   * since a job's tasks are placed only once all its dependencies are done. The dependency graph
   * calls this for each of the job's dependents too.
   */
  void cancelWithDependency(Job job) {
    cancel(job);
    job.requestWrite(WriteUrgency.NOW, context.now());
  }

  @Override
  public void onEnded(Job job, JobState state) {
    remove(job);
    dependencies.onJobEnded(job.id(), state);
  }

  @Override
  public void onCommitted(Job job) {
    jobs.recordCommitted(job);
    JobRecordState record = job.record();
    placementLog.logCommitted(job, record.committedSequence(), record.revision(), lease.epoch());
  }

  @Override
  public void onRecordMissing(Job job) {
    relinquish(job, null);
  }

  @Override
  public void onRefused(Job job, JobRecord record) {
    relinquish(job, record);
  }

  /**
   * Removes a job that another owner has, or whose record is gone. From the first refusal on, this
   * owner neither writes the job's record nor commands its tasks.
   */
  private void relinquish(Job job, JobRecord record) {
    JobId id = job.id();
    remove(job);
    jobs.relinquish(id);
    if (record == null) {
      machines.references().recordRemoved(id);
      context.info(
          "job.relinquished job=%s shard=%s epoch=%s reason=\"no record any more\"",
          id, lease.shard(), lease.epoch());
    } else {
      machines.references().recordRead(id, Revision.ABSENT, Set.of(), true);
      context.info(
          "job.relinquished job=%s shard=%s epoch=%s record_epoch=%s record_writer=%s",
          id, lease.shard(), lease.epoch(), record.epoch(), record.writer());
      lease.recordRefusal(record.epoch());
    }
    context.count("job.fenced");
  }

  @Override
  public boolean isCurrent(Job job) {
    return !lease.isEnded() && jobs.isCurrent(job);
  }

  @Override
  public void onReplaced(Job job, JobRecord record, Revision revision) {
    jobs.detachAll(job);
    job.record().unclaim();
    job.adopt(record, revision);
    adoptAttempts(job, record);
  }
}
