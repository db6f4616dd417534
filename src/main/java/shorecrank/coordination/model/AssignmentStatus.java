package shorecrank.coordination.model;

import shorecrank.protocol.HeartbeatMessages.MachineAssignment;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.MoveId;

/** Which shard a machine is assigned to, as far as one shard's owner has been told. */
public final class AssignmentStatus {
  private boolean assigned;
  private MonotonicTime since = MonotonicTime.NEVER;
  private boolean elsewhere;

  /** Under an epoch below this its worker may have been another shard's. */
  private Epoch requiredEpoch = Epoch.NONE;

  private boolean handoverRequested;
  private MoveId move = MoveId.NONE;
  private boolean arrivedFromShard;

  /** Whether it is assigned to this shard. */
  public boolean isAssigned() {
    return assigned;
  }

  /** Since when it is assigned to this shard; it has been rented about as long. */
  public MonotonicTime since() {
    return since;
  }

  /** Whether it is assigned to another shard, whose owner may renew its worker's lease. */
  public boolean isAssignedElsewhere() {
    return elsewhere;
  }

  /** The epoch from which on the worker's heartbeats count. */
  public Epoch requiredEpoch() {
    return requiredEpoch;
  }

  /** Whether it is to be emptied and handed over: nothing new is placed on it. */
  public boolean isHandoverRequested() {
    return handoverRequested;
  }

  /** The order under which it is to be handed over, or has come; {@link MoveId#NONE} if none. */
  public MoveId move() {
    return move;
  }

  /** Whether it has come from another shard, so that it ran before it was assigned here. */
  public boolean hasArrivedFromOtherShard() {
    return arrivedFromShard;
  }

  /**
   * It is assigned to this shard.
   *
   * @return whether it has been with another shard since, so that what its worker showed before
   *     proves nothing now
   */
  public boolean assign(MachineAssignment assignment, MonotonicTime now) {
    elsewhere = false;
    if (!assigned) {
      assigned = true;
      since = now.plus(-assignment.ageMs());
    }
    boolean raised = assignment.term().isAbove(requiredEpoch);
    if (raised) {
      requiredEpoch = assignment.term();
    }
    handoverRequested = assignment.handoverRequested();
    move = assignment.move();
    arrivedFromShard |= move.isSet() && !handoverRequested;
    return raised;
  }

  /** It is assigned to another shard. */
  public void assignElsewhere() {
    elsewhere = true;
  }

  /** It is not assigned to this shard, and to no other as far as is known. */
  public void unassign() {
    assigned = false;
    elsewhere = false;
    handoverRequested = false;
    move = MoveId.NONE;
  }
}
