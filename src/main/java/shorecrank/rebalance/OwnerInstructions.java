package shorecrank.rebalance;

import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.ShareStateMessages.Move;
import shorecrank.protocol.ShareStateMessages.MovePhase;
import shorecrank.rebalance.FleetAssignments.FleetMachine;

/**
 * Orders owners to drain the machines of moves that are written down, and new owners to report
 * their arrival.
 */
final class OwnerInstructions {
  private final SharesStore store;
  private final FleetAssignments fleet;

  /** The key's revision whose moves owners are told; null if they have to be told anew. */
  private Revision announcedRevision;

  OwnerInstructions(SharesStore store, FleetAssignments fleet) {
    this.store = store;
    this.fleet = fleet;
  }

  /** Whether owners are told the moves of the key's present revision. */
  boolean areCurrent() {
    return store.revision().equals(announcedRevision);
  }

  /** Assignments were read anew, with no order in them. */
  void reset() {
    announcedRevision = null;
  }

  /** Makes the orders in the assignments those of the moves that are written down. */
  void synchronize() {
    if (!store.isReadable()) {
      return;
    }
    for (Move move : store.state().active()) {
      FleetMachine machine = fleet.machine(move.machine());
      if (machine == null || machine.move().equals(move.id())) {
        continue;
      }
      boolean isHandedOver = move.phase() == MovePhase.HANDED_OVER;
      if (!isHandedOver && machine.shard().equals(move.from())) {
        fleet.requestHandover(machine.name(), move.id());
      } else if (isHandedOver && machine.shard().equals(move.to())) {
        fleet.awaitArrival(machine.name(), move.id());
      }
    }
    for (MachineName machine : fleet.machinesWithMove()) {
      if (store.state().activeMoveOf(machine) == null) {
        fleet.clearMove(machine);
      }
    }
    announcedRevision = store.revision();
  }
}
