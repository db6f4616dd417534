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
import shorecrank.protocol.ShareMessages.Move;
import shorecrank.protocol.ShareMessages.MovePhase;
import shorecrank.protocol.StoreMessages.Transaction;

/** Shards and machines as the leader knows them, and what shares may change of them. */
public interface ShareFleet {
  /**
   * A machine and its assignment.
   *
   * @param cpus 0 while its type is not known
   * @param order the order that its owner, or its new owner, is told; NONE if there is none
   */
  record FleetMachine(
      MachineName name, Offer offer, double cpus, ShardId shard, Epoch term, MoveId order) {
    /**
     * The move of the machine to another shard, as it begins.
     *
     * @param by the operator's order that asks for it; empty if it is need
     */
    Move moveTo(ShardId to, MoveId id, String by, long wallMs) {
      return new Move(id, name, shard, to, term, MovePhase.REQUESTED, by, wallMs, "");
    }
  }

  /** How many shards there are. */
  int shards();

  /** All machines that are assigned. */
  Collection<FleetMachine> machines();

  /** Machines of which an owner is told an order. */
  List<MachineName> ordered();

  /** Null if the machine is not assigned. */
  FleetMachine machine(MachineName name);

  /** The highest epoch that was minted for a shard. */
  Epoch epoch(ShardId shard);

  /** The label of a shard's owner; empty if it has none. */
  String owner(ShardId shard);

  /** Has an epoch above {@code least} minted for a shard's present owner. */
  void raiseAbove(ShardId shard, Epoch least);

  /** The owner is to empty the machine and hand it back. */
  void handoverRequested(MachineName machine, MoveId order);

  /** The owner may use the machine; the order that concerned it is over. */
  void keep(MachineName machine);

  /** The new owner is to say when it hears the machine. */
  void awaitArrival(MachineName machine, MoveId order);

  /** Assignments that are being written in a transaction; no others are until it is over. */
  interface Handover {
    /** The machines that it assigns: as many of those asked for as fit into a transaction. */
    Set<MachineName> machines();

    /** How many changes it adds to the transaction. */
    int operations();

    /** Adds what assigns the machines. */
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
  Handover prepare(Map<MachineName, ShardId> assignments);

  /** Assignments may differ from what is known here: reads everything anew. */
  void reload();
}
