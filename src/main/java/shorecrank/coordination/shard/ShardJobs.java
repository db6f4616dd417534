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
import shorecrank.coordination.model.TeamUse;
import shorecrank.coordination.model.WriteUrgency;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.Revision;
import shorecrank.storage.JobRecord;

/**
 * The unfinished jobs of a shard and the attempts of their tasks, which of them have something to
 * write, and which were relinquished. Each attempt of a job here counts for its team's quota.
 */
final class ShardJobs {
  private final StepContext context;
  private final TeamQuotas quotas;
  private final Map<JobId, Job> jobs = new TreeMap<>();

  /** Jobs that another owner has; nothing is written or commanded for them any more. */
  private final Set<JobId> relinquished = new HashSet<>();

  /** Jobs with something to write; each adds itself. */
  private final Set<Job> jobsToWrite = new ObjectLinkedOpenHashSet<>();

  ShardJobs(StepContext context, TeamQuotas quotas) {
    this.context = context;
    this.quotas = quotas;
  }

  /** All jobs in the order of their ids; not to be changed by the caller. */
  Map<JobId, Job> all() {
    return jobs;
  }

  /** The job of that id; null if there is none. */
  Job find(JobId id) {
    return jobs.get(id);
  }

  /** Whether this very object is the shard's job of its id. */
  boolean isCurrent(Job job) {
    return jobs.get(job.id()) == job;
  }

  /** Adds the job of a record, without its attempts. */
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

  /** Whether the usage of a team is limited. */
  boolean isLimited(String team) {
    return quotas.isLimited(team);
  }

  /** What the teams with a limit use. */
  List<TeamUse> teamUses() {
    return quotas.uses();
  }

  // ---- attempts --------------------------------------------------------------------------------

  /** Adds an attempt to its job and machine. */
  void attach(TaskAttempt attempt) {
    attempt.job().add(attempt);
    quotas.allocate(attempt.job().spec());
  }

  /** Removes an attempt from its job and machine; none if its task has another one. */
  void detach(TaskAttempt attempt) {
    if (attempt.job().tasks().isCurrent(attempt)) {
      attempt.job().remove(attempt);
      quotas.release(attempt.job().spec());
    }
  }

  /** Removes all attempts of a job, whose record was read anew or is no more. */
  void detachAll(Job job) {
    job.tasks().copyOfAttempts().forEach(this::detach);
    quotas.releaseWithdrawn(job.spec(), job.clearWithdrawn());
  }

  /** Removes the attempts that no record names: no command has been given for them. */
  void detachUncommitted(Job job) {
    for (TaskAttempt attempt : job.tasks().copyOfAttempts()) {
      if (!attempt.isCommitted()) {
        detach(attempt);
      }
    }
  }

  /**
   * Gives an attempt up that was never started, though it may be by whoever finds it in the record:
   * its task is free, its team's quota only once the record names it no more.
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

  /** A write of a job's record is known to be committed. */
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

  /** The attempt is surely off its machine, without a result, and can't be started any more. */
  void lose(TaskAttempt attempt) {
    detach(attempt);
    attempt.job().requestWrite(WriteUrgency.LATER, context.now());
  }

  // ---- writes ----------------------------------------------------------------------------------

  /** The jobs that may have something to write; the writer removes those that have not. */
  Set<Job> jobsToWrite() {
    return jobsToWrite;
  }

  /** Has the writer look at all jobs, for what became due without a change. */
  void queueAllForReview() {
    jobsToWrite.addAll(jobs.values());
  }

  // ---- relinquished jobs -----------------------------------------------------------------------

  /** The job of that id is another owner's. */
  void relinquish(JobId id) {
    relinquished.add(id);
  }

  /** Whether the job is another owner's. */
  boolean isRelinquished(JobId id) {
    return relinquished.contains(id);
  }

  /** Whether any job is another owner's. */
  boolean hasRelinquished() {
    return !relinquished.isEmpty();
  }

  /** Under a higher epoch all jobs may be this owner's again. */
  void forgetRelinquished() {
    relinquished.clear();
  }
}
