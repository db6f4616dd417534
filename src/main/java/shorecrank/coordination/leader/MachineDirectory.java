package shorecrank.coordination.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.HeartbeatMessages.MachineAssignment;
import shorecrank.protocol.HeartbeatMessages.MachineInfo;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Ids.ShardId;

/**
 * The leader's machines and the shards to which they are assigned. Each change has a number, so
 * that a heartbeat answer carries only what changed since the version that the sender knows.
 */
final class MachineDirectory {
  /**
   * The changes since a version.
   *
   * @param isComplete whether {@code assigned} holds all assignments instead of only the changed
   *     ones
   */
  record Changes(boolean isComplete, List<MachineAssignment> assigned, List<MachineName> removed) {}

  private final StepContext context;
  private final LoadedTerm loadedTerm;
  private final AssignmentStore store;
  private final AssignmentChangeLog changes = new AssignmentChangeLog();
  private final Map<MachineName, AssignedMachine> machines = new TreeMap<>();

  MachineDirectory(StepContext context, Election election, LoadedTerm loadedTerm) {
    this.context = context;
    this.loadedTerm = loadedTerm;
    this.store = new AssignmentStore(context, election, loadedTerm, this::markRecorded);
  }

  /** Reports whether a machine is assigned. */
  boolean contains(MachineName name) {
    return machines.containsKey(name);
  }

  /** Returns a machine; null if it is not assigned. */
  AssignedMachine get(MachineName name) {
    return machines.get(name);
  }

  /** Returns all machines, ordered by name. */
  Collection<AssignedMachine> all() {
    return machines.values();
  }

  /** Returns the number of assigned machines. */
  int size() {
    return machines.size();
  }

  /** Returns the number of machines that are assigned to a shard. */
  long count(ShardId shard) {
    return machines.values().stream().filter(machine -> machine.shard().equals(shard)).count();
  }

  /** Returns the machines that are stored in a bucket. */
  List<AssignedMachine> machinesIn(int bucket) {
    return machines.values().stream()
        .filter(machine -> BucketValues.bucketOf(machine.name()) == bucket)
        .toList();
  }

  /** Returns the term under which the assignments were loaded. */
  Revision term() {
    return loadedTerm.current();
  }

  /** Returns the number of the last change of any assignment. */
  long version() {
    return changes.version();
  }

  /** Reports whether all assignments are stored in the state service. */
  boolean isWritten() {
    return store.isWritten();
  }

  // ---- state service ---------------------------------------------------------------------------

  /**
   * Reads all assignments again.
   *
   * @param callback receives whether that succeeded
   */
  void load(Consumer<Boolean> callback) {
    machines.clear();
    store.load(
        assignments -> {
          assignments.ifPresent(all -> all.forEach(this::restore));
          callback.accept(assignments.isPresent());
        });
  }

  private void restore(StoredAssignment assignment) {
    AssignedMachine machine = new AssignedMachine(assignment, context.now());
    machine.markRecorded();
    machines.put(machine.name(), machine);
  }

  /** Starts a term with the assignments that were loaded. */
  void beginTerm(Revision term) {
    store.beginTerm();
    changes.restart(term);
  }

  /** Writes changed assignments, as many as the write budget allows. */
  void save() {
    store.save(machines.values());
  }

  private void markRecorded(AssignedMachine machine) {
    if (!machine.isRecorded()) {
      machine.markRecorded();
      machine.updateVersion(changes.advance());
    }
  }

  // ---- changes ---------------------------------------------------------------------------------

  /** Assigns a machine to a shard under the shard's epoch. */
  void assign(MachineInfo info, ShardId shard, Epoch epoch) {
    put(new StoredAssignment(info, shard, epoch));
    store.markUnsaved(info.name());
  }

  private AssignedMachine put(StoredAssignment assignment) {
    AssignedMachine machine = new AssignedMachine(assignment, context.now());
    machines.put(machine.name(), machine);
    machine.updateVersion(changes.advance());
    context.info(
        "machine.assigned machine=%s shard=%s epoch=%s",
        machine.name(), machine.shard(), machine.epoch());
    context.count("machine.lent");
    return machine;
  }

  /** Asks a machine's owner to drain the machine and hand it over under a move's id. */
  void requestHandover(AssignedMachine machine, MoveId move) {
    machine.updateMove(move, true, changes.advance());
  }

  /** Asks a machine's new owner to report when it receives the machine's heartbeats. */
  void awaitArrival(AssignedMachine machine, MoveId move) {
    machine.updateMove(move, false, changes.advance());
  }

  /**
   * Clears a machine's move, which tells the machine's owner that it may go on using the machine.
   */
  void clearMove(AssignedMachine machine) {
    machine.updateMove(MoveId.NONE, false, changes.advance());
  }

  /** Removes a machine's assignment. */
  void remove(MachineName name) {
    if (machines.remove(name) != null) {
      store.markUnsaved(name);
    }
    changes.addRemoval(name, machines.size());
  }

  // ---- transfers -------------------------------------------------------------------------------

  /**
   * Prepares new assignments for one transaction, and marks their machines as in transfer.
   * Assignments that don't fit are left out.
   *
   * @param otherOperations the number of other operations in the transaction
   * @param otherBytes the size of the other operations, in bytes
   * @return the transfer; empty if no assignment can be written now
   */
  Optional<MachineTransfer> prepare(
      Map<MachineName, NextAssignment> assignments, int otherOperations, int otherBytes) {
    if (store.isSaving()) {
      return Optional.empty();
    }
    int maxOperations = context.config().state().txnOps() - otherOperations;
    MachineTransfer transfer = new MachineTransfer(this, store, otherBytes);
    assignments.forEach(
        (name, next) -> {
          if (machines.containsKey(name)) {
            transfer.addIfItFits(name, next, maxOperations);
          }
        });
    if (transfer.isEmpty()) {
      return Optional.empty();
    }
    transfer.begin();
    return Optional.of(transfer);
  }

  /** Marks a machine as in transfer, and announces to owners that it is not assigned. */
  void beginTransfer(MachineName name) {
    machines.get(name).beginTransfer();
    changes.addRemoval(name, machines.size());
  }

  /** Records that a machine's next assignment was written. */
  void completeTransfer(MachineName name, NextAssignment next) {
    AssignedMachine machine = machines.get(name);
    if (machine != null) {
      put(new StoredAssignment(machine.info(), next.shard(), next.epoch())).markRecorded();
    }
  }

  /** Keeps a machine's last assignment, after the write of the next one was refused. */
  void cancelTransfer(MachineName name) {
    AssignedMachine machine = machines.get(name);
    if (machine != null) {
      machine.cancelTransfer(changes.advance());
    }
  }

  // ---- for other controllers -------------------------------------------------------------------

  /**
   * Returns what changed since a version; all assignments if the version is of another term or too
   * old.
   *
   * @param isSingleShard whether the fleet has only one shard
   */
  Changes changesSince(long knownVersion, boolean isSingleShard) {
    boolean isComplete = !changes.covers(knownVersion);
    List<MachineAssignment> assigned = new ArrayList<>();
    List<MachineName> removed = new ArrayList<>();
    if (knownVersion == changes.version()) {
      return new Changes(isComplete, assigned, removed);
    }
    for (AssignedMachine machine : machines.values()) {
      if (mayAnnounce(machine, isSingleShard) && (isComplete || machine.version() > knownVersion)) {
        assigned.add(machine.toMachineAssignment(isSingleShard, context.now()));
      }
    }
    if (!isComplete) {
      changes.forEachRemovalAfter(
          knownVersion,
          name -> {
            AssignedMachine current = machines.get(name);
            if (current == null || !mayAnnounce(current, isSingleShard)) {
              removed.add(name);
            }
          });
    }
    return new Changes(isComplete, assigned, removed);
  }

  /**
   * Reports whether an assignment may be sent to shard owners.
   *
   * <p>In a fleet with several shards, an assignment has to be stored first: otherwise the next
   * leader would not know it, and could assign the machine to another shard while it runs tasks. A
   * machine in transfer is never sent: a new owner of the shard that handed the machine over would
   * use it again.
   */
  private static boolean mayAnnounce(AssignedMachine machine, boolean isSingleShard) {
    return (machine.isRecorded() || isSingleShard) && !machine.isInTransfer();
  }
}
