package shorecrank.coordination.model;

import shorecrank.protocol.HeartbeatMessages.MachineAssignment;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.MoveId;

/**
 * A machine's assignment as far as the owner of one shard knows it: to this shard, to another one,
 * or to none.
 */
public final class AssignmentStatus {
  private boolean assigned;
  private MonotonicTime since = MonotonicTime.NEVER;
  private boolean assignedElsewhere;

  /**
   * The lowest epoch that a heartbeat of the machine's worker must show to count. A heartbeat with
   * a lower one may come from the time when another shard had the machine.
   */
  private Epoch requiredEpoch = Epoch.NONE;

  private boolean handoverRequested;
  private MoveId move = MoveId.NONE;
  private boolean arrivedFromOtherShard;

  /** Reports whether the machine is assigned to this shard. */
  public boolean isAssigned() {
    return assigned;
  }

  /**
   * Returns when the machine was assigned to this shard. A machine that came straight from the
   * cloud was rented at about that time.
   */
  public MonotonicTime since() {
    return since;
  }

  /**
   * Reports whether the machine is assigned to another shard, whose owner may renew the lease of
   * its worker.
   */
  public boolean isAssignedElsewhere() {
    return assignedElsewhere;
  }

  /** Returns the lowest epoch that a heartbeat of the machine's worker must show to count. */
  public Epoch requiredEpoch() {
    return requiredEpoch;
  }

  /** Reports whether the machine has to be emptied and handed over; no task is placed on it. */
  public boolean isHandoverRequested() {
    return handoverRequested;
  }

  /**
   * Returns the move by which the machine is to leave this shard or has come to it; {@link
   * MoveId#NONE} if there is none.
   */
  public MoveId move() {
    return move;
  }

  /**
   * Reports whether the machine came from another shard, so that it was already running when it was
   * assigned to this one.
   */
  public boolean hasArrivedFromOtherShard() {
    return arrivedFromOtherShard;
  }

  /**
   * Records that the machine is assigned to this shard.
   *
   * @return whether the required epoch has risen: the machine may have belonged to another shard in
   *     between, so earlier heartbeats of its worker no longer count
   */
  public boolean assign(MachineAssignment assignment, MonotonicTime now) {
    assignedElsewhere = false;
    if (!assigned) {
      assigned = true;
      since = now.plus(-assignment.ageMs());
    }
    boolean raised = assignment.requiredEpoch().isAbove(requiredEpoch);
    if (raised) {
      requiredEpoch = assignment.requiredEpoch();
    }
    handoverRequested = assignment.handoverRequested();
    move = assignment.move();
    arrivedFromOtherShard |= move.isSet() && !handoverRequested;
    return raised;
  }

  /** Records that the machine is assigned to another shard. */
  public void assignElsewhere() {
    assignedElsewhere = true;
  }

  /** Records that the machine is not assigned to this shard, nor to another one that is known. */
  public void unassign() {
    assigned = false;
    assignedElsewhere = false;
    handoverRequested = false;
    move = MoveId.NONE;
  }
}
