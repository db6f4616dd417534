package shorecrank.rebalance;

import java.util.List;
import shorecrank.leadership.LeaderEnvironment;
import shorecrank.leadership.SequentialStore;
import shorecrank.storage.JobRecord;
import shorecrank.storage.ListResult;

/**
 * Refuses a configured number of shards other than the one in force while jobs exist. Jobs and
 * machines are assigned by that number, so under another one their records would be read by owners
 * that their machines don't belong to.
 */
final class ShardCountCheck {
  private static final long RETRY_MS = 2000;

  private final LeaderEnvironment environment;
  private final SharesStore shares;
  private final SequentialStore store;
  private final int configured;
  private boolean hasNoJobs;

  ShardCountCheck(LeaderEnvironment environment, SharesStore shares, int configured) {
    this.environment = environment;
    this.shares = shares;
    this.store = new SequentialStore(environment);
    this.configured = configured;
  }

  /**
   * Whether the configured number may be used: it is the one in force, or no job was assigned by
   * another. Where moves may be written, the new number is written down before any shard is granted
   * by it.
   */
  boolean isPassed() {
    return isInForce() || (hasNoJobs && !shares.isPermitted());
  }

  private boolean isInForce() {
    int known = shares.state().shards();
    return known == 0 || known == configured;
  }

  /** Looks for jobs, or writes the configured number down once there is none. */
  void tick() {
    if (!shares.isRead() || isPassed() || !store.isReady()) {
      return;
    }
    if (hasNoJobs && shares.isIdle()) {
      hasNoJobs = false;
      shares.write(
          shares.state().withShards(configured).withActiveMoves(List.of()),
          transaction -> {},
          result -> {});
      return;
    }
    store.list(JobRecord.LIVE_PREFIX, "", 1, this::jobsListed);
  }

  private void jobsListed(ListResult result) {
    store.pause(RETRY_MS);
    if (result instanceof ListResult.Page page) {
      hasNoJobs = page.entries().isEmpty();
      if (!hasNoJobs) {
        environment.reportRefusal(
            "shares.parts_refused",
            "shards.refused configured=%d in_force=%d reason=\"jobs exist: set it back\""
                .formatted(configured, shares.state().shards()));
      }
    }
  }
}
