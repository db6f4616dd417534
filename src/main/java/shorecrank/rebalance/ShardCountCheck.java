package shorecrank.rebalance;

import java.util.List;
import shorecrank.leadership.LeaderEnvironment;
import shorecrank.leadership.SequentialStore;
import shorecrank.storage.JobRecord;
import shorecrank.storage.ListResult;

/**
 * Refuses to run with a configured number of shards other than the one in force while jobs exist.
 * The number of shards determines to which shard a job and a machine belong. If it changed under
 * existing jobs, their records would be read by owners to which the jobs' machines don't belong.
 */
final class ShardCountCheck {
  private static final long RETRY_MS = 2000;

  private final LeaderEnvironment environment;
  private final SharesStore shares;
  private final SequentialStore store;
  private final int configuredShards;
  private boolean hasNoJobs;

  ShardCountCheck(LeaderEnvironment environment, SharesStore shares, int configuredShards) {
    this.environment = environment;
    this.shares = shares;
    this.store = new SequentialStore(environment);
    this.configuredShards = configuredShards;
  }

  /**
   * Reports whether the configured number of shards may be used: it is the one in force, or no jobs
   * exist. If the feature level allows writes to the shares' key, the new number first has to be
   * written there, so that no shard is granted before.
   */
  boolean isPassed() {
    return isInForce() || (hasNoJobs && !shares.isPermitted());
  }

  private boolean isInForce() {
    int stored = shares.state().shards();
    return stored == 0 || stored == configuredShards;
  }

  /** Looks for jobs, and writes the configured number to the shares' key once there are none. */
  void tick() {
    if (!shares.isRead() || isPassed() || !store.isReady()) {
      return;
    }
    if (hasNoJobs && shares.isIdle()) {
      hasNoJobs = false;
      shares.write(
          shares.state().withShards(configuredShards).withActiveMoves(List.of()),
          transaction -> {},
          result -> {});
      return;
    }
    store.list(JobRecord.LIVE_PREFIX, "", 1, this::handleJobsListed);
  }

  private void handleJobsListed(ListResult result) {
    store.pause(RETRY_MS);
    if (result instanceof ListResult.Page page) {
      hasNoJobs = page.entries().isEmpty();
      if (!hasNoJobs) {
        environment.reportError(
            "shares.parts_refused",
            "shards.refused configured=%d in_force=%d reason=\"jobs exist: set it back\""
                .formatted(configuredShards, shares.state().shards()));
      }
    }
  }
}
