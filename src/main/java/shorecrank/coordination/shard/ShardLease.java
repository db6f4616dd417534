package shorecrank.coordination.shard;

import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.storage.JobRecord;

/**
 * The right of this process to command and write a shard: its epoch, until when it holds, and the
 * grace period after it.
 *
 * <p>No other controller owns the shard before the lease ends, by this process's clock.
 */
final class ShardLease {
  /** After a leader's grant has ended: until another leads, has read its keys and is heard. */
  private static final int ELECTION_MS = 4000;

  private final StepContext context;
  private final ShardId shard;
  private final Epoch firstEpoch;
  private Epoch epoch;
  private MonotonicTime validUntil = MonotonicTime.NEVER;
  private boolean relinquished;
  private boolean ended;

  /** The highest epoch by which a write under the current one was refused. */
  private Epoch refusedBy = Epoch.NONE;

  ShardLease(StepContext context, ShardId shard, Epoch epoch) {
    this.context = context;
    this.shard = shard;
    this.epoch = epoch;
    this.firstEpoch = epoch;
  }

  /** The shard. */
  ShardId shard() {
    return shard;
  }

  /** Whether a team's jobs are of the shard. */
  boolean isOfShard(String team) {
    return ShardId.of(team, context.settings().shards()).equals(shard);
  }

  /** The current epoch. */
  Epoch epoch() {
    return epoch;
  }

  /** The epoch with which the ownership began: memory goes back to it. */
  Epoch firstEpoch() {
    return firstEpoch;
  }

  /**
   * The leader has granted the lease, or renewed it.
   *
   * @return whether the epoch has risen
   */
  boolean renew(Epoch granted, MonotonicTime until) {
    boolean raised = granted.isAbove(epoch);
    if (raised) {
      context.info("shard.epoch.raised shard=%s from=%s epoch=%s", shard, epoch, granted);
      epoch = granted;
      refusedBy = Epoch.NONE;
    }
    if (validUntil.isBefore(until)) {
      validUntil = until;
    }
    relinquished = false;
    return raised;
  }

  /** Whether this process may command and write now. */
  boolean isValid() {
    return isValidAt(context.now());
  }

  /** Whether this process may command and write at a time. */
  boolean isValidAt(MonotonicTime time) {
    return time.isBefore(validUntil);
  }

  /**
   * The leader has not renewed the lease. From now on nothing is commanded or written, as after the
   * lease has expired; but until a successor is named, which an outage of the state service may
   * delay, workers' leases are renewed like in the grace period, whose length counts from here.
   *
   * @return whether this is news
   */
  boolean relinquish(String reason) {
    if (relinquished) {
      return false;
    }
    relinquished = true;
    if (isValid()) {
      validUntil = context.now();
    }
    context.info("shard.relinquished shard=%s epoch=%s reason=\"%s\"", shard, epoch, reason);
    context.count("part.relinquished");
    return true;
  }

  /** Whether the leader did not renew the lease when it last could. */
  boolean isRelinquished() {
    return relinquished;
  }

  /** The ownership is over for good: a successor is known, or the memory is out of date. */
  void end(String reason) {
    ended = true;
    context.info("shard.given_up shard=%s epoch=%s reason=\"%s\"", shard, epoch, reason);
    context.count("part.given_up");
  }

  /** Whether the ownership is over for good. */
  boolean isEnded() {
    return ended;
  }

  /**
   * Whether workers' own leases may still be renewed, without commands, so that running work
   * outlives an outage of the state service. Bounded: a new owner counts on silence after it.
   *
   * @param isAlone whether no other controller is heard
   * @param missesManyWorkers whether a share of the machines has just fallen silent
   */
  boolean isInGrace(boolean isAlone, boolean missesManyWorkers) {
    long expiredForMs = context.now().since(validUntil);
    if (expiredForMs < 0 || expiredForMs >= context.settings().graceMs()) {
      return false;
    }
    if (context.isStoreReachable()) {
      // The store is there, so a leader soon will be: as long as an election and a heartbeat take,
      // counted from the end of an outage.
      long reachableForMs =
          Math.min(expiredForMs, context.now().since(context.storeReachableSince()));
      return reachableForMs < context.settings().leaderTtlMs() + ELECTION_MS;
    }
    return !isAlone || missesManyWorkers || expiredForMs < context.settings().leaseMs() * 2L;
  }

  /** Whether a record is another owner's: of a higher epoch, or of this one but another process. */
  boolean isRefusedBy(JobRecord record) {
    return record.epoch().isAbove(epoch)
        || (record.epoch().equals(epoch) && !record.writer().equals(context.writer()));
  }

  /** A record of another owner has refused this one's writes. */
  void recordRefusal(Epoch refusing) {
    if (refusing.compareTo(refusedBy) > 0) {
      refusedBy = refusing;
    }
  }

  /** The highest epoch that has refused this one; {@link Epoch#NONE} if none has. */
  Epoch refusedBy() {
    return refusedBy;
  }
}
