package shorecrank.coordination;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import shorecrank.protocol.HeartbeatMessages.HeartbeatAnswer;
import shorecrank.protocol.HeartbeatMessages.MachineAssignment;
import shorecrank.protocol.Ids.MachineName;

/** The shard that each machine is assigned to, according to the leader's latest answer. */
final class MachineAssignments {
  private static final long NO_VERSION = -1;

  private final Map<MachineName, MachineAssignment> byMachine = new LinkedHashMap<>();
  private long version = NO_VERSION;

  /** Returns the machine's assignment, or null if it has none. */
  MachineAssignment find(MachineName machine) {
    return byMachine.get(machine);
  }

  /** Returns an unmodifiable view of the assignments of all machines. */
  Collection<MachineAssignment> all() {
    return Collections.unmodifiableCollection(byMachine.values());
  }

  /**
   * Returns the version of the known assignments, or -1 before the leader's first answer. The
   * leader's next answer may contain only the changes since this version.
   */
  long version() {
    return version;
  }

  /**
   * Applies the added and removed assignments that the leader's answer contains.
   *
   * @return true if the answer lists all assignments, or if its version differs from the version
   *     known before
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
