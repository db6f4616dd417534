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
  private MonotonicTime leaseEnd = MonotonicTime.NEVER;
  private boolean vacant = true;
  private boolean revoking;
  private boolean allocating;

  /** The process for which an epoch is being allocated, or was last. */
  private WriterId allocatedFor;

  private boolean queued;
  private ControllerName unreachableOwner;
  private List<String> unreachableZones = List.of();
  private MonotonicTime lastUnreachableAt = MonotonicTime.NEVER;

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
  boolean hasActiveOwner() {
    return !vacant && !revoking;
  }

  /** Whether a controller is the shard's owner, also while its lease is being revoked. */
  boolean isOwnedBy(ControllerName controller) {
    return !vacant && controller.equals(owner);
  }

  /** Whether the owner's lease has expired, by this process's clock. */
  boolean isLeaseExpired(MonotonicTime now) {
    return !vacant && leaseEnd.isBefore(now);
  }

  /** Whether the owner says that tasks wait. */
  boolean hasQueuedTasks() {
    return queued;
  }

  /** The owner says whether tasks wait. */
  void updateHasQueuedTasks(boolean tasksWait) {
    queued = tasksWait;
  }

  /** The shard has this owner, under an epoch that is written down. */
  void assignOwner(ControllerName label, WriterId process, Epoch allocated, MonotonicTime until) {
    owner = label;
    writer = process;
    epoch = allocated;
    vacant = false;
    revoking = false;
    leaseEnd = until;
  }

  /** The owner's lease runs until then by this process's clock, at the latest. */
  void renewLease(MonotonicTime until) {
    leaseEnd = until;
  }

  /** The lease counts as expired no earlier than this. */
  void extendLease(MonotonicTime atLeastUntil) {
    if (leaseEnd.isBefore(atLeastUntil)) {
      leaseEnd = atLeastUntil;
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
  void revokeUnreachable(List<String> zones, MonotonicTime now) {
    unreachableOwner = owner;
    unreachableZones = zones;
    lastUnreachableAt = now;
    revoking = true;
  }

  /** How long ago an owner was last replaced because workers did not reach it. */
  long msSinceUnreachable(MonotonicTime now) {
    return now.since(lastUnreachableAt);
  }

  /** The last owner that workers did not reach; null if there was none. */
  ControllerName unreachableOwner() {
    return unreachableOwner;
  }

  /** The zones of the workers that did not reach {@link #unreachableOwner()}. */
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
