package shorecrank.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.HeartbeatMessages.MachineAssignment;
import shorecrank.protocol.HeartbeatMessages.MachineInfo;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.ShardId;

/**
 * Workers whose heartbeats reached this controller although it does not own their machines: those
 * without an assignment, and those that belong to another controller. Heartbeats to the leader
 * report them.
 */
final class ForeignWorkers {
  /** The maximum number of unassigned machines in one heartbeat to the leader. */
  private static final int MAX_MACHINES_PER_MESSAGE = 500;

  /**
   * How long after its last heartbeat to this controller a worker counts as misrouted. A redirected
   * worker that has not come back by then has found its owner.
   */
  private static final int MISROUTED_VALID_MS = 8000;

  private final StepContext context;
  private final Map<MachineName, MachineInfo> unassigned = new LinkedHashMap<>();
  private final Map<MachineName, MonotonicTime> misroutedAt = new HashMap<>();

  ForeignWorkers(StepContext context) {
    this.context = context;
  }

  /** Records a heartbeat from a machine that is not assigned to any shard. */
  void addUnassigned(MachineInfo machine) {
    unassigned.put(machine.name(), machine);
  }

  /** Records a heartbeat from a machine that is assigned to another controller's shard. */
  void addMisrouted(MachineName machine) {
    misroutedAt.put(machine, context.now());
  }

  /** Reports whether there are unassigned machines that have not been reported to the leader. */
  boolean hasUnassigned() {
    return !unassigned.isEmpty();
  }

  /** Removes and returns unassigned machines, at most as many as fit into one heartbeat. */
  List<MachineInfo> pollUnassigned() {
    List<MachineInfo> taken = new ArrayList<>();
    Iterator<MachineInfo> left = unassigned.values().iterator();
    while (left.hasNext() && taken.size() < MAX_MACHINES_PER_MESSAGE) {
      taken.add(left.next());
      left.remove();
    }
    return taken;
  }

  /**
   * Counts the workers of each shard that have recently sent a heartbeat to this controller instead
   * of to the shard's owner.
   */
  Map<ShardId, Integer> countMisrouted(MachineAssignments assignments) {
    misroutedAt.values().removeIf(at -> context.now().since(at) > MISROUTED_VALID_MS);
    Map<ShardId, Integer> byShard = new TreeMap<>();
    for (MachineName machine : misroutedAt.keySet()) {
      MachineAssignment assignment = assignments.find(machine);
      if (assignment != null) {
        byShard.merge(assignment.shard(), 1, Integer::sum);
      }
    }
    return byShard;
  }
}
