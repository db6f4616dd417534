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
 * The leader's machines and the shards they are assigned to. Each change has a number, so that
 * other controllers are told only what has changed since they were last told.
 */
final class MachineDirectory {
  /** What has changed since a controller's version; all assignments if {@code isComplete}. */
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

  /** Whether a machine is assigned, as far as is known. */
  boolean contains(MachineName name) {
    return machines.containsKey(name);
  }

  /** Null if the machine is not known. */
  AssignedMachine get(MachineName name) {
    return machines.get(name);
  }

  /** All machines, by name. */
  Collection<AssignedMachine> all() {
    return machines.values();
  }

  /** How many machines are assigned. */
  int size() {
    return machines.size();
  }

  /** How many machines a shard has. */
  long count(ShardId shard) {
    return machines.values().stream().filter(machine -> machine.shard().equals(shard)).count();
  }

  /** The machines that are written down in a bucket. */
  List<AssignedMachine> machinesIn(int bucket) {
    return machines.values().stream()
        .filter(machine -> BucketValues.bucketOf(machine.name()) == bucket)
        .toList();
  }

  /** The term under which the assignments were read. */
  Revision term() {
    return loadedTerm.current();
  }

  /** The number of the last change. */
  long version() {
    return changes.version();
  }

  /** Whether all assignments stand in the state service. */
  boolean isWritten() {
    return store.isWritten();
  }

  // ---- state service ---------------------------------------------------------------------------

  /** Reads all assignments anew; {@code then} is told whether that succeeded. */
  void load(Consumer<Boolean> then) {
    machines.clear();
    store.load(
        assignments -> {
          assignments.ifPresent(all -> all.forEach(this::restore));
          then.accept(assignments.isPresent());
        });
  }

  private void restore(StoredAssignment assignment) {
    AssignedMachine machine = new AssignedMachine(assignment, context.now());
    machine.markRecorded();
    machines.put(machine.name(), machine);
  }

  /** What was read is in force under a term. */
  void beginTerm(Revision term) {
    store.beginTerm();
    changes.restart(term);
  }

  /** Writes what is not yet written, as the budget allows. */
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

  /** A machine belongs to a shard from now on, under the shard's epoch. */
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

  /** The owner is to let the machine run empty and hand it back, under an order's id. */
  void requestHandover(AssignedMachine machine, MoveId move) {
    machine.updateMove(move, true, changes.advance());
  }

  /** The owner is to say when it hears the machine. */
  void awaitArrival(AssignedMachine machine, MoveId move) {
    machine.updateMove(move, false, changes.advance());
  }

  /** The owner may use the machine; the order that concerned it is over. */
  void keep(AssignedMachine machine) {
    machine.updateMove(MoveId.NONE, false, changes.advance());
  }

  /** A machine is no longer assigned as owners know. */
  void remove(MachineName name) {
    if (machines.remove(name) != null) {
      store.markUnsaved(name);
    }
    changes.addRemoval(name, machines.size());
  }

  // ---- transfers -------------------------------------------------------------------------------

  /**
   * Prepares new assignments, as many as fit beside {@code otherOperations} and {@code otherBytes}
   * into a transaction; empty if none can be written now.
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

  /** A machine's next assignment is being written: nobody owns it as far as owners know. */
  void beginTransfer(MachineName name) {
    machines.get(name).beginTransfer();
    changes.addRemoval(name, machines.size());
  }

  /** A machine's next assignment was written. */
  void completeTransfer(MachineName name, NextAssignment next) {
    AssignedMachine machine = machines.get(name);
    if (machine != null) {
      put(new StoredAssignment(machine.info(), next.shard(), next.epoch())).markRecorded();
    }
  }

  /** A machine's next assignment was not written: the last one goes on. */
  void cancelTransfer(MachineName name) {
    AssignedMachine machine = machines.get(name);
    if (machine != null) {
      machine.cancelTransfer(changes.advance());
    }
  }

  // ---- for other controllers -------------------------------------------------------------------

  /** Who knows a version of this term gets what changed since, others all of it. */
  Changes changesSince(long known, boolean isSingleShard) {
    boolean isComplete = !changes.covers(known);
    List<MachineAssignment> assigned = new ArrayList<>();
    List<MachineName> removed = new ArrayList<>();
    if (known == changes.version()) {
      return new Changes(isComplete, assigned, removed);
    }
    for (AssignedMachine machine : machines.values()) {
      if (mayAnnounce(machine, isSingleShard) && (isComplete || machine.version() > known)) {
        assigned.add(machine.describe(isSingleShard, context.now()));
      }
    }
    if (!isComplete) {
      changes.forEachRemovalAfter(
          known,
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
   * Whether owners may be told of an assignment. With several shards only once it is written down:
   * the next leader would otherwise not know of it and might assign the machine to another shard
   * while it holds tasks. With one shard there is no other. And nobody is told of a machine that is
   * passing on: a new owner of the shard that has handed it back would take it for its own.
   */
  private static boolean mayAnnounce(AssignedMachine machine, boolean isSingleShard) {
    return (machine.isRecorded() || isSingleShard) && !machine.isInTransfer();
  }
}
