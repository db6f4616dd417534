package shorecrank.coordination.leader;

import java.util.List;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.WriterId;

/**
 * The leader's state of one shard: owner, epoch and lease, and the progress of replacing the owner.
 *
 * <p>A shard is vacant until its first epoch is allocated, and again when its owner is known to
 * hold no lease. While the shard is being revoked, its owner's lease is not renewed but may still
 * run.
 */
final class ShardState {
  private ControllerName owner;
  private WriterId writer;
  private Epoch epoch = Epoch.NONE;
  private MonotonicTime leaseEnd = MonotonicTime.NEVER;
  private boolean vacant = true;
  private boolean revoking;
  private boolean allocating;

  /** The process for which an epoch is being allocated, or was allocated last. */
  private WriterId allocatedFor;

  private boolean hasQueuedTasks;
  private ControllerName unreachableOwner;
  private List<String> unreachableZones = List.of();
  private MonotonicTime lastUnreachableAt = MonotonicTime.NEVER;

  /** Returns the last owner; null if there was none. */
  ControllerName owner() {
    return owner;
  }

  /** Returns the last owner's process; null if there was none. */
  WriterId writer() {
    return writer;
  }

  /** Returns the highest epoch that was allocated for the shard; {@link Epoch#NONE} if none was. */
  Epoch epoch() {
    return epoch;
  }

  /**
   * Reports whether the shard is vacant: no process holds its lease, and the lease is granted to no
   * process before an owner is assigned.
   */
  boolean isVacant() {
    return vacant;
  }

  /** Reports whether the owner's lease is no longer renewed. */
  boolean isRevoking() {
    return revoking;
  }

  /** Reports whether an epoch is being allocated for the shard. */
  boolean isAllocating() {
    return allocating;
  }

  /** Reports whether an epoch is being allocated for a process other than {@code process}. */
  boolean isAllocatingForOther(WriterId process) {
    return allocating && !process.equals(allocatedFor);
  }

  /**
   * Reports whether the shard has an owner that is announced to controllers and whose lease may be
   * renewed.
   */
  boolean hasActiveOwner() {
    return !vacant && !revoking;
  }

  /** Reports whether a controller is the shard's owner, also while its lease is being revoked. */
  boolean isOwnedBy(ControllerName controller) {
    return !vacant && controller.equals(owner);
  }

  /** Reports whether the owner's lease has expired by this process's clock. */
  boolean isLeaseExpired(MonotonicTime now) {
    return !vacant && leaseEnd.isBefore(now);
  }

  /** Reports whether tasks are queued in the shard, by its owner's last report. */
  boolean hasQueuedTasks() {
    return hasQueuedTasks;
  }

  /** Records whether tasks are queued in the shard. */
  void updateHasQueuedTasks(boolean hasQueued) {
    hasQueuedTasks = hasQueued;
  }

  /**
   * Sets the shard's owner under an epoch that is stored in the state service.
   *
   * @param until the latest end of the owner's lease by this process's clock
   */
  void assignOwner(
      ControllerName controller, WriterId process, Epoch allocated, MonotonicTime until) {
    owner = controller;
    writer = process;
    epoch = allocated;
    vacant = false;
    revoking = false;
    leaseEnd = until;
  }

  /** Sets the latest end of the owner's lease by this process's clock. */
  void renewLease(MonotonicTime until) {
    leaseEnd = until;
  }

  /** Sets the end of the owner's lease to a time unless it already ends later. */
  void extendLease(MonotonicTime atLeastUntil) {
    if (leaseEnd.isBefore(atLeastUntil)) {
      leaseEnd = atLeastUntil;
    }
  }

  /** Marks the shard as vacant, since its last owner holds no lease. */
  void vacate() {
    vacant = true;
  }

  /** Stops the renewal of the owner's lease. */
  void revoke() {
    revoking = true;
  }

  /**
   * Stops the renewal of the lease of an owner that workers can't reach.
   *
   * @param zones the zones in which most of these workers are
   */
  void revokeUnreachable(List<String> zones, MonotonicTime now) {
    unreachableOwner = owner;
    unreachableZones = zones;
    lastUnreachableAt = now;
    revoking = true;
  }

  /**
   * Returns the time since an owner was last replaced because workers couldn't reach it, in
   * milliseconds.
   */
  long msSinceUnreachable(MonotonicTime now) {
    return now.since(lastUnreachableAt);
  }

  /** Returns the last owner that workers couldn't reach; null if there was none. */
  ControllerName unreachableOwner() {
    return unreachableOwner;
  }

  /** Returns the zones of the workers that couldn't reach {@link #unreachableOwner()}. */
  List<String> unreachableZones() {
    return unreachableZones;
  }

  /** Records that an epoch is being allocated for a process. */
  void beginAllocation(WriterId process) {
    allocating = true;
    allocatedFor = process;
  }

  /** Records that the allocation has ended, with or without success. */
  void endAllocation() {
    allocating = false;
  }
}
