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

/**
 * Decides which machines of a shard may be handed over, and remembers those that were, so that they
 * are not commanded any more.
 */
final class MachineHandovers {
  private final MachineReferences references;
  private final ForeignTasks foreignTasks;

  /**
   * Move under which each machine was handed over. An entry stays until the machine may be used
   * here again, even while the leader reports the machine as assigned to no shard.
   */
  private final Map<MachineName, MoveId> handedOver = new HashMap<>();

  MachineHandovers(MachineReferences references, ForeignTasks foreignTasks) {
    this.references = references;
    this.foreignTasks = foreignTasks;
  }

  /**
   * Returns the machines whose handover is requested and that hold nothing of this shard any more,
   * and remembers them as handed over.
   */
  List<MachineHandover> handOver(Collection<Machine> machines, WorkerLiveness liveness) {
    List<MachineHandover> handovers = new ArrayList<>();
    for (Machine machine : machines) {
      if (machine.assignment().isHandoverRequested() && isReadyForHandover(machine, liveness)) {
        MoveId move = machine.assignment().move();
        handovers.add(new MachineHandover(machine.name(), move));
        handedOver.put(machine.name(), move);
      }
    }
    return handovers;
  }

  /**
   * Removes the handover of a machine that may be used here again, is assigned to another shard, or
   * was released.
   */
  void remove(MachineName machine) {
    handedOver.remove(machine);
  }

  /** Reports whether the machine was handed over under the move that the leader requests now. */
  boolean isHandedOver(Machine machine) {
    return machine.assignment().isHandoverRequested()
        && machine.assignment().move().equals(handedOver.get(machine.name()));
  }

  /**
   * Reports whether nothing of this shard is on the machine or can reach it, and no record names
   * it. The worker has shown this owner's token, its last heartbeat lists no task of the shard, no
   * direct command to it may still take effect, and no record names the machine, not even through a
   * write that is applied late.
   */
  private boolean isReadyForHandover(Machine machine, WorkerLiveness liveness) {
    return machine.isEmpty()
        && machine.session().isConfirmed()
        && liveness.isFresh(machine)
        && !machine.session().tokens().hasPendingDirectCommand()
        && !references.mayBeNamed(machine.name())
        && listsOnlyForeignTasks(machine);
  }

  private boolean listsOnlyForeignTasks(Machine machine) {
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
