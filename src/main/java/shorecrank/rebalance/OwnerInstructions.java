package shorecrank.rebalance;

import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.ShareStateMessages.Move;
import shorecrank.protocol.ShareStateMessages.MovePhase;
import shorecrank.rebalance.FleetAssignments.FleetMachine;

/**
 * Keeps the instructions that shard owners receive consistent with the moves in the shares' key:
 * the present owner has to drain the machine and hand it over, the new owner has to report when it
 * receives the machine's heartbeats.
 */
final class OwnerInstructions {
  private final SharesStore store;
  private final FleetAssignments fleet;

  /**
   * The revision of the shares' key from which the owners' instructions were made; null if the
   * instructions have to be made again.
   */
  private Revision announcedRevision;

  OwnerInstructions(SharesStore store, FleetAssignments fleet) {
    this.store = store;
    this.fleet = fleet;
  }

  /** Reports whether the owners' instructions were made from the shares' key's present revision. */
  boolean areCurrent() {
    return store.revision().equals(announcedRevision);
  }

  /** Requires the owners' instructions to be made again: newly read assignments contain none. */
  void reset() {
    announcedRevision = null;
  }

  /**
   * Makes the owners' instructions match the moves in the shares' key, and withdraws the
   * instructions of ended moves.
   */
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
