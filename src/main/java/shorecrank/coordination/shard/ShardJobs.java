package shorecrank.coordination.shard;

import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.model.TeamQuotas;
import shorecrank.coordination.model.TeamUsage;
import shorecrank.coordination.model.WriteUrgency;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.Revision;
import shorecrank.storage.JobRecord;

/**
 * The unfinished jobs of a shard, the attempts of their tasks, the jobs that need a write, and the
 * jobs that were relinquished. Attempts are counted for their teams' quotas when they are added and
 * removed here.
 */
final class ShardJobs {
  private final StepContext context;
  private final TeamQuotas quotas;
  private final Map<JobId, Job> jobs = new TreeMap<>();

  /** Jobs that another owner has; no records are written and no commands given for them. */
  private final Set<JobId> relinquished = new HashSet<>();

  /** Jobs that need a write; each job adds itself. */
  private final Set<Job> jobsToWrite = new ObjectLinkedOpenHashSet<>();

  ShardJobs(StepContext context, TeamQuotas quotas) {
    this.context = context;
    this.quotas = quotas;
  }

  /** Returns all jobs in the order of their ids; the caller must not change the map. */
  Map<JobId, Job> all() {
    return jobs;
  }

  /** Returns the job with the given id, or null if the shard has no such job. */
  Job find(JobId id) {
    return jobs.get(id);
  }

  /** Reports whether this object, and not another one for the same id, is the shard's job. */
  boolean isCurrent(Job job) {
    return jobs.get(job.id()) == job;
  }

  /** Adds a job for a record, without the attempts that the record names. */
  Job add(JobRecord record, Revision revision) {
    Job job = new Job(record, revision, context.nextInstanceNumber(), jobsToWrite);
    jobs.put(job.id(), job);
    return job;
  }

  /** Removes a job and its attempts. */
  void remove(Job job) {
    detachAll(job);
    jobs.remove(job.id());
  }

  /** Reports whether the team has a limit on processors or accelerators. */
  boolean isLimited(String team) {
    return quotas.isLimited(team);
  }

  /** Returns the quota usage of the teams with a limit, by team name. */
  List<TeamUsage> teamUsages() {
    return quotas.usages();
  }

  // ---- attempts --------------------------------------------------------------------------------

  /** Adds an attempt to its job and machine. */
  void attach(TaskAttempt attempt) {
    attempt.job().add(attempt);
    quotas.allocate(attempt.job().spec());
  }

  /** Removes an attempt from its job and machine; does nothing if its task has another attempt. */
  void detach(TaskAttempt attempt) {
    if (attempt.job().tasks().isCurrent(attempt)) {
      attempt.job().remove(attempt);
      quotas.release(attempt.job().spec());
    }
  }

  /**
   * Removes all attempts of a job, for instance because its record was read again or is deleted.
   */
  void detachAll(Job job) {
    job.tasks().copyOfAttempts().forEach(this::detach);
    quotas.releaseWithdrawn(job.spec(), job.clearWithdrawn());
  }

  /** Removes the attempts whose placement is not committed, for which no command has been given. */
  void detachUncommitted(Job job) {
    for (TaskAttempt attempt : job.tasks().copyOfAttempts()) {
      if (!attempt.isCommitted()) {
        detach(attempt);
      }
    }
  }

  /**
   * Withdraws an attempt that was never started but that a later owner may start if it finds it in
   * the record. Its task can be placed again at once; the team's quota is released only once a
   * committed write no longer names the attempt.
   */
  void withdraw(TaskAttempt attempt) {
    Job job = attempt.job();
    if (job.tasks().isCurrent(attempt)) {
      job.withdraw(attempt);
      quotas.withdraw(job.spec());
    }
    boolean isWaitedFor = isLimited(job.spec().team());
    job.requestWrite(isWaitedFor ? WriteUrgency.NOW : WriteUrgency.LATER, context.now());
  }

  /**
   * Releases the quota of the attempts that the job's record, as last committed, no longer names.
   */
  void recordCommitted(Job job) {
    int settled = job.removeSettledWithdrawn();
    if (settled > 0) {
      quotas.releaseWithdrawn(job.spec(), settled);
      context.infoLimited(
          "quota.released",
          "job=%s team=%s tasks=%d revision=%s",
          job.id(),
          job.spec().team(),
          settled,
          job.record().revision());
    }
  }

  /**
   * Abandons an attempt that is certainly not running any more, has left no result and can't be
   * started again: removes it and requests a write of the job's record without it.
   */
  void abandon(TaskAttempt attempt) {
    detach(attempt);
    attempt.job().requestWrite(WriteUrgency.LATER, context.now());
  }

  // ---- writes ----------------------------------------------------------------------------------

  /** Returns the jobs that may need a write; the writer removes those that do not. */
  Set<Job> jobsToWrite() {
    return jobsToWrite;
  }

  /**
   * Adds all jobs to those that the writer examines, since a write may become due without a change.
   */
  void queueAllForReview() {
    jobsToWrite.addAll(jobs.values());
  }

  // ---- relinquished jobs -----------------------------------------------------------------------

  /** Records that another owner has the job. */
  void relinquish(JobId id) {
    relinquished.add(id);
  }

  /** Reports whether another owner has the job. */
  boolean isRelinquished(JobId id) {
    return relinquished.contains(id);
  }

  /** Reports whether another owner has any of the jobs. */
  boolean hasRelinquished() {
    return !relinquished.isEmpty();
  }

  /** Removes all relinquished jobs, which this owner may own again under a higher epoch. */
  void clearRelinquished() {
    relinquished.clear();
  }
}
