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

/** Workers that sent their heartbeats here although they belong elsewhere, for the leader. */
final class ForeignWorkers {
  /** The most machines in one message; the rest goes with the next. */
  private static final int MAX_MACHINES_PER_MESSAGE = 500;

  /** A worker that was sent to its owner and is not back after so long has found it. */
  private static final int MISROUTED_VALID_MS = 8000;

  private final StepContext context;
  private final Map<MachineName, MachineInfo> unassigned = new LinkedHashMap<>();
  private final Map<MachineName, MonotonicTime> misroutedAt = new HashMap<>();

  ForeignWorkers(StepContext context) {
    this.context = context;
  }

  /** A machine without an assignment was heard. */
  void addUnassigned(MachineInfo machine) {
    unassigned.put(machine.name(), machine);
  }

  /** A machine was heard that belongs to a shard of another controller. */
  void addMisrouted(MachineName machine) {
    misroutedAt.put(machine, context.now());
  }

  /** Whether machines without an assignment have yet to be reported. */
  boolean hasUnassigned() {
    return !unassigned.isEmpty();
  }

  /** Removes as many machines without an assignment as fit into one message. */
  List<MachineInfo> takeUnassigned() {
    List<MachineInfo> taken = new ArrayList<>();
    Iterator<MachineInfo> left = unassigned.values().iterator();
    while (left.hasNext() && taken.size() < MAX_MACHINES_PER_MESSAGE) {
      taken.add(left.next());
      left.remove();
    }
    return taken;
  }

  /** Counts, by shard, the workers that came here lately instead of to their owner. */
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
