package shorecrank.coordination.leader;

import java.util.List;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.WriterId;

/**
 * One shard as the leader knows it: owner, epoch and lease, and how far the owner's replacement has
 * gone.
 *
 * <p>A shard is vacant until its first epoch is allocated, and again once its owner is known to
 * hold no lease. While it is being revoked its owner's lease is not renewed, but may still run.
 */
final class ShardState {
  private ControllerName owner;
  private WriterId writer;
  private Epoch epoch = Epoch.NONE;
  private MonotonicTime leaseUntil = MonotonicTime.NEVER;
  private boolean vacant = true;
  private boolean revoking;
  private boolean allocating;

  /** The process for which an epoch is being allocated, or was last. */
  private WriterId allocatedFor;

  private boolean queued;
  private ControllerName unreachedOwner;
  private List<String> unreachableZones = List.of();
  private MonotonicTime movedAt = MonotonicTime.NEVER;

  /** The last owner; null if there was none. */
  ControllerName owner() {
    return owner;
  }

  /** The last owner's process; null if there was none. */
  WriterId writer() {
    return writer;
  }

  /** The highest epoch that was allocated for the shard; {@link Epoch#NONE} if none was. */
  Epoch epoch() {
    return epoch;
  }

  /** Whether no process holds a lease of the shard, nor may be granted one. */
  boolean isVacant() {
    return vacant;
  }

  /** Whether the owner's lease is not renewed any more. */
  boolean isRevoking() {
    return revoking;
  }

  /** Whether an epoch is being allocated for the shard. */
  boolean isAllocating() {
    return allocating;
  }

  /** Whether an epoch is being allocated for another process than this one. */
  boolean isAllocatingForOther(WriterId process) {
    return allocating && !process.equals(allocatedFor);
  }

  /** Whether the owner may be told to others, and be granted its lease. */
  boolean isServed() {
    return !vacant && !revoking;
  }

  /** Whether a controller is the shard's owner, also while its lease is being revoked. */
  boolean isOwnedBy(ControllerName controller) {
    return !vacant && controller.equals(owner);
  }

  /** Whether the owner's lease has expired, by this process's clock. */
  boolean isLeaseExpired(MonotonicTime now) {
    return !vacant && leaseUntil.isBefore(now);
  }

  /** Whether the owner says that tasks wait. */
  boolean isQueued() {
    return queued;
  }

  /** The owner says whether tasks wait. */
  void updateQueued(boolean tasksWait) {
    queued = tasksWait;
  }

  /** The shard has this owner, under an epoch that is written down. */
  void assignOwner(ControllerName label, WriterId process, Epoch allocated, MonotonicTime until) {
    owner = label;
    writer = process;
    epoch = allocated;
    vacant = false;
    revoking = false;
    leaseUntil = until;
  }

  /** The owner's lease runs until then by this process's clock, at the latest. */
  void renewLease(MonotonicTime until) {
    leaseUntil = until;
  }

  /** The lease counts as expired no earlier than this. */
  void extendLease(MonotonicTime atLeastUntil) {
    if (leaseUntil.isBefore(atLeastUntil)) {
      leaseUntil = atLeastUntil;
    }
  }

  /** The last owner holds no lease. */
  void vacate() {
    vacant = true;
  }

  /** The owner's lease is not renewed any more. */
  void revoke() {
    revoking = true;
  }

  /**
   * Revokes the lease of an owner that its workers don't reach.
   *
   * @param zones those in which most of these workers are
   */
  void revokeUnreached(List<String> zones, MonotonicTime now) {
    unreachedOwner = owner;
    unreachableZones = zones;
    movedAt = now;
    revoking = true;
  }

  /** How long ago an owner was last replaced because workers did not reach it. */
  long sinceMovedMs(MonotonicTime now) {
    return now.since(movedAt);
  }

  /** The last owner that workers did not reach; null if there was none. */
  ControllerName unreachedOwner() {
    return unreachedOwner;
  }

  /** The zones of the workers that did not reach {@link #unreachedOwner()}. */
  List<String> unreachableZones() {
    return unreachableZones;
  }

  /** An epoch is being allocated for a process. */
  void beginAllocation(WriterId process) {
    allocating = true;
    allocatedFor = process;
  }

  /** The allocation is over, whatever became of it. */
  void endAllocation() {
    allocating = false;
  }
}
