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

/** Shards and machines as the leader knows them, and the changes of them that moves make. */
public interface FleetAssignments {
  /**
   * A machine and its assignment.
   *
   * @param cpus 0 while its type is not known
   * @param term the epoch under which it was assigned
   * @param order the move that its owner, or its new owner, is told; {@link MoveId#NONE} if there
   *     is none
   */
  record FleetMachine(
      MachineName name, Offer offer, double cpus, ShardId shard, Epoch term, MoveId move) {
    /**
     * The move of the machine to another shard, as it begins.
     *
     * @param orderId the operator's order that asks for it; empty for a move by need
     * @param wallMs the time of day, in milliseconds since 1970
     */
    Move moveTo(ShardId to, MoveId id, String orderId, long wallMs) {
      return new Move(id, name, shard, to, term, MovePhase.REQUESTED, orderId, wallMs, "");
    }
  }

  /** How many shards there are. */
  int shardCount();

  /** All machines that are assigned. */
  Collection<FleetMachine> machines();

  /** The machines of which an owner is told a move. */
  List<MachineName> machinesWithMove();

  /** A machine and its assignment; null if it is not assigned. */
  FleetMachine machine(MachineName name);

  /** The highest epoch that was allocated for a shard. */
  Epoch epoch(ShardId shard);

  /** The name of a shard's owner; empty if it has none. */
  String owner(ShardId shard);

  /** Has an epoch above {@code least} allocated for a shard's present owner. */
  void raiseEpochAbove(ShardId shard, Epoch least);

  /** The owner is to drain the machine and release it. */
  void requestHandover(MachineName machine, MoveId move);

  /** The owner may use the machine: its move is over. */
  void clearMove(MachineName machine);

  /** The new owner is to report when it hears the machine. */
  void awaitArrival(MachineName machine, MoveId move);

  /** Assignments for one transaction; no other assignment is written until it is over. */
  interface Handover {
    /** The machines that it assigns: as many of those asked for as fit into a transaction. */
    Set<MachineName> machines();

    /** How many operations it adds to the transaction. */
    int operations();

    /** Adds the guards and writes that assign the machines. */
    void addTo(Transaction transaction);

    /** The transaction was carried out. */
    void committed(Revision at);

    /**
     * The transaction was not carried out, and never will be.
     *
     * @param conflict whether one of its guards failed
     */
    void refused(boolean conflict);
  }

  /**
   * Prepares new assignments, under the epochs of their shards; null if none can be written now.
   */
  Handover prepareHandover(Map<MachineName, ShardId> assignments);

  /** Reads all assignments anew, since they may differ from what is known. */
  void reload();
}
