package shorecrank.coordination.shard;

import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.TeamUsage;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.MonotonicTime;

/**
 * Logs what an owner has read of its shard's records when it takes over, and the resulting usage of
 * the teams.
 */
final class TakeoverLog {
  private final StepContext context;
  private final ShardLease lease;
  private final ShardJobs jobs;

  TakeoverLog(StepContext context, ShardLease lease, ShardJobs jobs) {
    this.context = context;
    this.lease = lease;
    this.jobs = jobs;
  }

  /**
   * Logs that all records have been read.
   *
   * @param revision the revision of the state service at the first page
   * @param began when the first page was requested
   */
  void logRecovered(long revision, MonotonicTime began, int pages) {
    int attempts = 0;
    int toClaim = 0;
    for (Job job : jobs.all().values()) {
      attempts += job.tasks().attemptCount();
      toClaim += job.record().isTeamUsageKnown() ? 0 : 1;
    }
    context.info(
        "shard.recovered shard=%s epoch=%s jobs=%d revision=%d attempts=%d to_claim=%d read_ms=%d"
            + " pages=%d",
        lease.shard(),
        lease.epoch(),
        jobs.all().size(),
        revision,
        attempts,
        toClaim,
        context.now().since(began),
        pages);
    jobs.teamUsages().forEach(usage -> logUsage(usage, revision));
  }

  private void logUsage(TeamUsage usage, long revision) {
    context.info(
        "team.use %s shard=%s epoch=%s revision=%d",
        usage.logFields(), lease.shard(), lease.epoch(), revision);
  }
}
