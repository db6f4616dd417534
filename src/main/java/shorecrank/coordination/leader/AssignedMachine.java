package shorecrank.coordination.leader;

import shorecrank.protocol.HeartbeatMessages.MachineAssignment;
import shorecrank.protocol.HeartbeatMessages.MachineInfo;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.ShardId;

/**
 * A machine and its assignment to a shard. Another assignment of the same machine is another object
 * of this type; {@link MachineDirectory} changes it, and numbers the changes that owners are told.
 */
final class AssignedMachine {
  private final StoredAssignment assignment;
  private final MonotonicTime assignedAt;
  private MoveId move = MoveId.NONE;
  private boolean handoverRequested;
  private ShardId reclaimedBy;
  private MonotonicTime listedAt = MonotonicTime.NEVER;
  private boolean inTransfer;
  private boolean recorded;
  private long version;

  AssignedMachine(StoredAssignment assignment, MonotonicTime assignedAt) {
    this.assignment = assignment;
    this.assignedAt = assignedAt;
  }

  /** The machine's name and kind. */
  MachineInfo info() {
    return assignment.machine();
  }

  /** The machine's name. */
  MachineName name() {
    return assignment.machine().name();
  }

  /** The shard that it is assigned to. */
  ShardId shard() {
    return assignment.shard();
  }

  /** The epoch under which it is assigned. */
  Epoch epoch() {
    return assignment.epoch();
  }

  /** The part of it that the state service holds. */
  StoredAssignment assignment() {
    return assignment;
  }

  /** The order under which it is to be handed over, or has come to its shard; NONE without one. */
  MoveId move() {
    return move;
  }

  /** Whether its owner is to empty it for another shard. */
  boolean isHandoverRequested() {
    return handoverRequested;
  }

  /** A shard whose records name it, although it is assigned to another; null if there is none. */
  ShardId reclaimedBy() {
    return reclaimedBy;
  }

  /** Another shard's records name it. */
  void reclaimFor(ShardId shard) {
    reclaimedBy = shard;
  }

  /** When the cloud's list last showed it; NEVER if it has not yet. */
  MonotonicTime listedAt() {
    return listedAt;
  }

  /** The cloud's list shows it. */
  void markListed(MonotonicTime now) {
    listedAt = now;
  }

  /**
   * Sets what the owner is told of an order.
   *
   * @param newMove the order; NONE if none concerns the machine any more
   * @param changeVersion the number of this change
   */
  void updateMove(MoveId newMove, boolean isHandover, long changeVersion) {
    move = newMove;
    handoverRequested = isHandover;
    version = changeVersion;
  }

  /** Another assignment is being written, so that it is not known whose it is. */
  void beginTransfer() {
    inTransfer = true;
  }

  /** The other assignment was not written and never will be. */
  void cancelTransfer(long changeVersion) {
    inTransfer = false;
    version = changeVersion;
  }

  /** Whether the state service holds the assignment. */
  boolean isRecorded() {
    return recorded;
  }

  /** The state service holds the assignment. */
  void markRecorded() {
    recorded = true;
  }

  /** Whether another assignment is being written. */
  boolean isInTransfer() {
    return inTransfer;
  }

  /** The number of the change that last touched it. */
  long version() {
    return version;
  }

  /** It was touched by the change with this number. */
  void updateVersion(long changeVersion) {
    version = changeVersion;
  }

  /**
   * The assignment as owners are told of it.
   *
   * @param isSingleShard whether there is no other shard, so that no epoch is named
   */
  MachineAssignment describe(boolean isSingleShard, MonotonicTime now) {
    Epoch lowestEpoch = isSingleShard ? Epoch.NONE : epoch();
    return new MachineAssignment(
        info(), shard(), now.since(assignedAt), lowestEpoch, handoverRequested, move);
  }
}
