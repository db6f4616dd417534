package shorecrank.rebalance;

import java.util.List;
import shorecrank.leadership.LeaderEnvironment;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.StoreMessages;
import shorecrank.storage.JobRecord;

/**
 * Refuses another number of shards while jobs exist: jobs and machines are assigned by it, so their
 * records would be read by owners that their machines don't belong to.
 */
final class ShardNumberCheck {
  private static final long RETRY_MS = 2000;

  private final LeaderEnvironment environment;
  private final SharesStore store;
  private final int configured;
  private boolean jobsAreGone;
  private boolean busy;
  private MonotonicTime retryAt = MonotonicTime.NEVER;

  ShardNumberCheck(LeaderEnvironment environment, SharesStore store, int configured) {
    this.environment = environment;
    this.store = store;
    this.configured = configured;
  }

  /**
   * Whether the configured number may be used: it is the one in force, or there is no job by
   * another. Where moves may be written, the new number is, before any shard is granted by it.
   */
  boolean passed() {
    return matches() || (jobsAreGone && !store.permitted());
  }

  private boolean matches() {
    int known = store.state().shards();
    return known == 0 || known == configured;
  }

  void tick() {
    if (!store.read() || passed() || busy || environment.now().before(retryAt)) {
      return;
    }
    if (jobsAreGone && store.idle()) {
      jobsAreGone = false;
      store.write(
          store.state().withShards(configured).withActive(List.of()),
          transaction -> {},
          (result, at) -> {});
      return;
    }
    busy = true;
    environment.state(
        "GET",
        StoreMessages.list(JobRecord.LIVE, "", 1),
        null,
        (status, body) -> {
          busy = false;
          retryAt = environment.now().plus(RETRY_MS);
          if (status != 200) {
            return;
          }
          jobsAreGone = StoreMessages.entries(body).isEmpty();
          if (!jobsAreGone) {
            environment.refused(
                "shares.parts_refused",
                "parts refused configured=%d in_force=%d reason=\"jobs exist: set it back\""
                    .formatted(configured, store.state().shards()));
          }
        });
  }
}
