package shorecrank.coordination;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import shorecrank.protocol.HeartbeatMessages.HeartbeatAnswer;
import shorecrank.protocol.HeartbeatMessages.MachineAssignment;
import shorecrank.protocol.Ids.MachineName;

/** Which shard each machine of the fleet is assigned to, as the leader has told. */
final class MachineAssignments {
  private static final long NO_VERSION = -1;

  private final Map<MachineName, MachineAssignment> byMachine = new LinkedHashMap<>();
  private long version = NO_VERSION;

  /** The machine's assignment; null if it has none. */
  MachineAssignment find(MachineName machine) {
    return byMachine.get(machine);
  }

  /** All assignments. */
  Collection<MachineAssignment> all() {
    return Collections.unmodifiableCollection(byMachine.values());
  }

  /** The version that the leader's next answer may build on; -1 before the first answer. */
  long version() {
    return version;
  }

  /**
   * Takes what the leader's answer says.
   *
   * @return whether the leader's assignments are of another version than those known before
   */
  boolean update(HeartbeatAnswer answer) {
    boolean isChanged = answer.isComplete() || answer.assignmentVersion() != version;
    version = answer.assignmentVersion();
    if (answer.isComplete()) {
      byMachine.clear();
    }
    for (MachineAssignment assignment : answer.assigned()) {
      byMachine.put(assignment.machine().name(), assignment);
    }
    answer.unassigned().forEach(byMachine::remove);
    return isChanged;
  }
}
