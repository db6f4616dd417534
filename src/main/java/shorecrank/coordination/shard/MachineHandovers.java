package shorecrank.coordination.shard;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.WorkerLiveness;
import shorecrank.protocol.HeartbeatMessages.MachineHandover;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.WorkerMessages.TaskStatus;
import shorecrank.protocol.WorkerMessages.WorkerHeartbeat;

/** Which machines of a shard may be handed over, and which were, so that they are not commanded. */
final class MachineHandovers {
  private final MachineReferences references;
  private final ForeignTasks foreignTasks;

  /**
   * The orders under which machines were handed over: that holds until a machine may be used again,
   * also while the leader says that it is nobody's.
   */
  private final Map<MachineName, MoveId> handedOver = new HashMap<>();

  MachineHandovers(MachineReferences references, ForeignTasks foreignTasks) {
    this.references = references;
    this.foreignTasks = foreignTasks;
  }

  /** The machines that are to be handed over and have nothing of this shard left. */
  List<MachineHandover> handOver(Collection<Machine> machines, WorkerLiveness liveness) {
    List<MachineHandover> handovers = new ArrayList<>();
    for (Machine machine : machines) {
      if (machine.assignment().isHandoverRequested() && isSettled(machine, liveness)) {
        MoveId move = machine.assignment().move();
        handovers.add(new MachineHandover(machine.name(), move));
        handedOver.put(machine.name(), move);
      }
    }
    return handovers;
  }

  /** The machine may be used again here, or is assigned to another shard, or gone. */
  void forget(MachineName machine) {
    handedOver.remove(machine);
  }

  /** Whether a machine was handed over under the order that holds now. */
  boolean isHandedOver(Machine machine) {
    return machine.assignment().isHandoverRequested()
        && machine.assignment().move().equals(handedOver.get(machine.name()));
  }

  /**
   * Whether nothing of this shard is on the machine, can come to it, or is said of it by a record:
   * the worker has shown this owner's token and lists nothing of the shard in its last heartbeat,
   * no command is under way to it, and no record names it, not even by a write that is carried out
   * late.
   */
  private boolean isSettled(Machine machine, WorkerLiveness liveness) {
    return machine.isEmpty()
        && machine.session().isConfirmed()
        && liveness.isFresh(machine)
        && !machine.session().tokens().hasPendingDirectCommand()
        && !references.mayName(machine.name())
        && listsOnlyForeign(machine);
  }

  private boolean listsOnlyForeign(Machine machine) {
    WorkerHeartbeat heartbeat = machine.session().lastHeartbeat();
    if (heartbeat == null) {
      return false;
    }
    for (TaskStatus status : heartbeat.tasks()) {
      if (foreignTasks.referenceStatus(machine.name(), status.attemptId())
          != ForeignTasks.ReferenceStatus.REFERENCED) {
        return false;
      }
    }
    return true;
  }
}
