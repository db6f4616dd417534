package shorecrank.coordination.leader;

import shorecrank.protocol.HeartbeatMessages.MachineAssignment;
import shorecrank.protocol.HeartbeatMessages.MachineInfo;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.ShardId;

/**
 * A machine and the shard to which the leader has assigned it. Assigning the machine to another
 * shard creates a new instance; {@link MachineDirectory} owns all instances and numbers their
 * changes, so that heartbeat answers carry only what changed.
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

  /** Returns the machine's name, type, zone and whether it is a spot machine. */
  MachineInfo info() {
    return assignment.machine();
  }

  /** Returns the machine's name. */
  MachineName name() {
    return assignment.machine().name();
  }

  /** Returns the shard to which the machine is assigned. */
  ShardId shard() {
    return assignment.shard();
  }

  /** Returns the shard's epoch at the time of the assignment. */
  Epoch epoch() {
    return assignment.epoch();
  }

  /** Returns the part of the assignment that is stored in the state service. */
  StoredAssignment assignment() {
    return assignment;
  }

  /**
   * Returns the id of the move for which the shard's owner hands the machine over or reports its
   * arrival; {@link MoveId#NONE} if there is no such move.
   */
  MoveId move() {
    return move;
  }

  /** Reports whether the shard's owner is asked to drain the machine and hand it over. */
  boolean isHandoverRequested() {
    return handoverRequested;
  }

  /** Returns the other shard whose records name this machine; null if there is none. */
  ShardId reclaimedBy() {
    return reclaimedBy;
  }

  /** Marks the machine as named in the records of another shard, to which it has to return. */
  void reclaimFor(ShardId shard) {
    reclaimedBy = shard;
  }

  /**
   * Returns when the cloud's machine list last contained this machine; {@link MonotonicTime#NEVER}
   * if it never has.
   */
  MonotonicTime listedAt() {
    return listedAt;
  }

  /** Records that the cloud's machine list contains this machine. */
  void markListed(MonotonicTime now) {
    listedAt = now;
  }

  /**
   * Sets the move and the handover request that are sent to the shard's owner.
   *
   * @param newMove the move; {@link MoveId#NONE} if the machine is not part of a move any more
   * @param isHandover whether the owner is asked to drain the machine and hand it over
   * @param changeVersion the number of this change in {@link AssignmentChangeLog}
   */
  void updateMove(MoveId newMove, boolean isHandover, long changeVersion) {
    move = newMove;
    handoverRequested = isHandover;
    version = changeVersion;
  }

  /**
   * Marks the machine as in transfer: a new assignment is being written, so its owner is unknown.
   */
  void beginTransfer() {
    inTransfer = true;
  }

  /**
   * Clears the transfer mark after the write of the new assignment was refused for good.
   *
   * @param changeVersion the number of this change in {@link AssignmentChangeLog}
   */
  void cancelTransfer(long changeVersion) {
    inTransfer = false;
    version = changeVersion;
  }

  /** Reports whether this assignment is stored in the state service. */
  boolean isRecorded() {
    return recorded;
  }

  /** Records that this assignment is stored in the state service. */
  void markRecorded() {
    recorded = true;
  }

  /** Reports whether a new assignment of the machine is being written. */
  boolean isInTransfer() {
    return inTransfer;
  }

  /** Returns the number of the last change of this assignment in {@link AssignmentChangeLog}. */
  long version() {
    return version;
  }

  /** Sets the number of the last change of this assignment. */
  void updateVersion(long changeVersion) {
    version = changeVersion;
  }

  /**
   * Returns the assignment in the form that heartbeat answers carry.
   *
   * @param isSingleShard whether the fleet has only one shard; the epoch is then left out, since no
   *     other shard can own the machine
   */
  MachineAssignment toMachineAssignment(boolean isSingleShard, MonotonicTime now) {
    Epoch lowestEpoch = isSingleShard ? Epoch.NONE : epoch();
    return new MachineAssignment(
        info(), shard(), now.since(assignedAt), lowestEpoch, handoverRequested, move);
  }
}
