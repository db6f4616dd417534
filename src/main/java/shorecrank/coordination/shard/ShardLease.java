package shorecrank.coordination.shard;

import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.storage.JobRecord;

/**
 * This process's right to command a shard's workers and to write its records: the epoch, the end of
 * the lease, and the grace period after it.
 *
 * <p>By this process's clock, no other controller owns the shard before the lease ends.
 */
final class ShardLease {
  /**
   * Time after the expiry of a leader's key within which a new leader is elected, has read its keys
   * and answers heartbeats.
   */
  private static final int ELECTION_MS = 4000;

  private final StepContext context;
  private final ShardId shard;
  private final Epoch firstEpoch;
  private Epoch epoch;
  private MonotonicTime validUntil = MonotonicTime.NEVER;
  private boolean relinquished;
  private boolean ended;

  /** The highest epoch of a record that has refused a write under the current epoch. */
  private Epoch refusedBy = Epoch.NONE;

  ShardLease(StepContext context, ShardId shard, Epoch epoch) {
    this.context = context;
    this.shard = shard;
    this.epoch = epoch;
    this.firstEpoch = epoch;
  }

  /** Returns the shard. */
  ShardId shard() {
    return shard;
  }

  /** Reports whether the team's jobs belong to the shard. */
  boolean isOfShard(String team) {
    return ShardId.of(team, context.settings().shards()).equals(shard);
  }

  /** Returns the current epoch. */
  Epoch epoch() {
    return epoch;
  }

  /** Returns the epoch with which the ownership began; all state in memory was built since then. */
  Epoch firstEpoch() {
    return firstEpoch;
  }

  /**
   * Records that the leader has granted or renewed the lease.
   *
   * @param until the end of the lease by this process's clock; an earlier one does not shorten it
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

  /** Reports whether this process may command and write now. */
  boolean isValid() {
    return isValidAt(context.now());
  }

  /** Reports whether this process may command and write at the given time. */
  boolean isValidAt(MonotonicTime time) {
    return time.isBefore(validUntil);
  }

  /**
   * Ends the lease because the leader has not renewed it. From now on nothing is commanded or
   * written. The grace period starts now, unless the lease has already expired: until a successor
   * is named, which an outage of the state service may delay, workers' leases may still be renewed.
   *
   * @param reason for the log
   * @return false if the lease was already relinquished
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

  /** Reports whether the lease is relinquished: the leader has stopped renewing it. */
  boolean isRelinquished() {
    return relinquished;
  }

  /**
   * Ends the ownership for good, because a successor is known or the state in memory is out of
   * date.
   */
  void end(String reason) {
    ended = true;
    context.info("shard.given_up shard=%s epoch=%s reason=\"%s\"", shard, epoch, reason);
    context.count("part.given_up");
  }

  /** Reports whether the ownership has ended for good. */
  boolean isEnded() {
    return ended;
  }

  /**
   * Reports whether workers' leases may still be renewed, without commands, so that running tasks
   * outlive an outage of the state service. The grace period is bounded because a new owner relies
   * on no lease being renewed after it.
   *
   * @param isIsolated whether no message from another controller has arrived lately
   * @param isMissingManyWorkers whether heartbeats arrive from fewer than two thirds of the shard's
   *     workers
   */
  boolean isInGrace(boolean isIsolated, boolean isMissingManyWorkers) {
    long expiredForMs = context.now().since(validUntil);
    if (expiredForMs < 0 || expiredForMs >= context.settings().graceMs()) {
      return false;
    }
    if (context.isStoreReachable()) {
      // The state service is reachable, so a new leader follows within the time that an election
      // and a heartbeat take, counted from the end of the outage.
      long reachableForMs =
          Math.min(expiredForMs, context.now().since(context.storeReachableSince()));
      return reachableForMs < context.settings().leaderTtlMs() + ELECTION_MS;
    }
    return !isIsolated || isMissingManyWorkers || expiredForMs < context.settings().leaseMs() * 2L;
  }

  /**
   * Reports whether a record belongs to another owner: its epoch is higher, or it is the current
   * one and another process has written the record.
   */
  boolean isRefusedBy(JobRecord record) {
    return record.epoch().isAbove(epoch)
        || (record.epoch().equals(epoch) && !record.writer().equals(context.writer()));
  }

  /**
   * Records that a record of another owner has refused a write under the current epoch.
   *
   * @param refusing the epoch of that record
   */
  void recordRefusal(Epoch refusing) {
    if (refusing.compareTo(refusedBy) > 0) {
      refusedBy = refusing;
    }
  }

  /** Returns the highest epoch that has refused the current one; {@link Epoch#NONE} if none has. */
  Epoch refusedBy() {
    return refusedBy;
  }
}
