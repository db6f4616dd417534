package shorecrank.rebalance;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.ShareStateMessages.Move;
import shorecrank.protocol.ShareStateMessages.MovePhase;
import shorecrank.protocol.StoreMessages.Transaction;

/**
 * The leader's knowledge of shards and machines, and the operations by which moves change the
 * assignment of machines to shards.
 */
public interface FleetAssignments {
  /**
   * A machine and its assignment.
   *
   * @param offer the machine type, the zone and whether it is a spot machine
   * @param cpus the machine's processors; 0 while the machine type is not known
   * @param epoch the epoch under which the machine was assigned to the shard
   * @param move the move for which the shard's owner has an instruction, either to drain the
   *     machine or to report its arrival; {@link MoveId#NONE} if there is no instruction
   */
  record FleetMachine(
      MachineName name, Offer offer, double cpus, ShardId shard, Epoch epoch, MoveId move) {
    /**
     * Creates a move of the machine to another shard, in its first phase.
     *
     * @param orderId the id of the operator's order that begins the move; empty if there is none
     * @param wallMs the wall-clock time, in milliseconds since 1970
     */
    Move moveTo(ShardId to, MoveId id, String orderId, long wallMs) {
      return new Move(id, name, shard, to, epoch, MovePhase.REQUESTED, orderId, wallMs, "");
    }
  }

  /** Returns the configured number of shards. */
  int shardCount();

  /** Returns all machines that are assigned to a shard. */
  Collection<FleetMachine> machines();

  /** Returns the machines for which an owner has an instruction of a move. */
  List<MachineName> machinesWithMove();

  /** Returns a machine and its assignment; null if the machine is not assigned. */
  FleetMachine machine(MachineName name);

  /** Returns the highest epoch that was allocated for a shard; {@link Epoch#NONE} if none was. */
  Epoch epoch(ShardId shard);

  /** Returns the name of the controller that owns a shard; empty if the shard has no owner. */
  String owner(ShardId shard);

  /** Requests an epoch above {@code lowerBound} for a shard's present owner. */
  void raiseEpochAbove(ShardId shard, Epoch lowerBound);

  /**
   * Instructs the machine's owner to drain the machine and to report when no task or record is left
   * on it.
   */
  void requestHandover(MachineName machine, MoveId move);

  /** Withdraws the instruction for a machine whose move has ended: its owner may use it. */
  void clearMove(MachineName machine);

  /** Instructs the machine's new owner to report when it receives the machine's heartbeats. */
  void awaitArrival(MachineName machine, MoveId move);

  /**
   * Assignments that are written in one transaction. No other assignment is written until {@link
   * #onCommitted} or {@link #onRefused} is called.
   */
  interface Handover {
    /** Returns the machines that are assigned: as many of the requested ones as fit. */
    Set<MachineName> machines();

    /** Returns how many operations {@link #addTo} adds to the transaction. */
    int operations();

    /** Adds the guards and writes that assign the machines. */
    void addTo(Transaction transaction);

    /** Applies the assignments: the transaction was committed at the given revision. */
    void onCommitted(Revision at);

    /**
     * Discards the assignments: the transaction was not committed and never will be.
     *
     * @param conflict whether the transaction failed because of one of its guards
     */
    void onRefused(boolean conflict);
  }

  /**
   * Prepares the assignment of machines to new shards, under the shards' present epochs. Returns
   * null if no assignment can be written now.
   */
  Handover prepareHandover(Map<MachineName, ShardId> assignments);

  /** Reads all assignments again, since the stored ones may differ from the known ones. */
  void reload();
}
