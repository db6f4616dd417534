package shorecrank.coordination.shard;

import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.model.WorkerLiveness;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.HeartbeatMessages.MachineAssignment;
import shorecrank.protocol.HeartbeatMessages.MachineHandover;
import shorecrank.protocol.HeartbeatMessages.MachineInfo;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.TaskAttemptId;
import shorecrank.protocol.WorkerMessages.WorkerHeartbeat;

/**
 * The machines that a shard's owner knows: which are assigned to the shard, which are to be handed
 * over, and when a machine holds nothing of the shard any more, so that it may be handed over.
 */
public final class MachineRegistry {
  /** Actions of the owner on a machine's attempts and on its deferred reply. */
  interface Callbacks {
    /** Abandons an attempt that is certainly not running any more and has left no result. */
    void abandonAttempt(TaskAttempt attempt);

    /** Refuses the deferred reply to the machine's heartbeat, if there is one. */
    void refuseDeferredReply(Machine machine);
  }

  private final StepContext context;
  private final ShardLease lease;
  private final MachineReferences references;
  private final ForeignTasks foreignTasks;
  private final Callbacks callbacks;
  private final MachineHandovers handovers;
  private final Map<MachineName, Machine> machines = new TreeMap<>();
  private final RemovedSessions removedSessions;
  private final ReleasedMachines released = new ReleasedMachines();

  /** Machines with free processors, so that a round in a full fleet examines only a few. */
  private final Set<Machine> machinesWithFreeCpus = new ObjectLinkedOpenHashSet<>();

  private Map<String, MachineType> catalog = Map.of();

  /**
   * Creates the registry without a machine.
   *
   * @param references the machines that records may name
   * @param foreignTasks the tasks that belong to other shards
   * @param callbacks actions of the owner
   */
  MachineRegistry(
      StepContext context,
      ShardLease lease,
      MachineReferences references,
      ForeignTasks foreignTasks,
      Callbacks callbacks) {
    this.context = context;
    this.lease = lease;
    this.references = references;
    this.foreignTasks = foreignTasks;
    this.callbacks = callbacks;
    this.removedSessions = new RemovedSessions(context);
    this.handovers = new MachineHandovers(references, foreignTasks);
  }

  /** Returns all machines in the order of their names; the caller must not change the map. */
  Map<MachineName, Machine> machines() {
    return machines;
  }

  /** Returns a live view of the machines with free processors. */
  Set<Machine> machinesWithFreeCpus() {
    return machinesWithFreeCpus;
  }

  /** Returns the machine of the given name; adds it if it is not known. */
  Machine machine(MachineName name) {
    return machines.computeIfAbsent(name, this::newMachine);
  }

  private Machine newMachine(MachineName name) {
    Machine machine = new Machine(name, removedSessions.take(name), machinesWithFreeCpus);
    machine.setIdleSince(context.now());
    return machine;
  }

  /** Returns the machines that the shard's records may name. */
  MachineReferences references() {
    return references;
  }

  /** Returns the machine types that can be rented, by name. */
  Map<String, MachineType> catalog() {
    return catalog;
  }

  /** Updates the machine types that can be rented, by name. */
  void updateCatalog(Map<String, MachineType> types) {
    catalog = types;
    for (Machine machine : machines.values()) {
      if (machine.info() != null) {
        machine.setType(types.get(machine.info().type()));
      }
    }
  }

  /** Sets a machine's type, its zone and whether it is a spot machine, if not known yet. */
  void initInfo(Machine machine, MachineInfo info) {
    if (machine.info() == null) {
      machine.setInfo(info);
      machine.setType(catalog.get(info.type()));
    }
  }

  // ---- assignment ------------------------------------------------------------------------------

  /**
   * Replaces the assignments of all machines.
   *
   * @param all the assignments to every shard; a machine that they do not name is unassigned
   */
  public void updateAllAssignments(Collection<MachineAssignment> all) {
    Set<MachineName> named = new HashSet<>();
    for (MachineAssignment assignment : all) {
      updateAssignment(assignment);
      named.add(assignment.machine().name());
    }
    for (MachineName name : new ArrayList<>(machines.keySet())) {
      if (!named.contains(name)) {
        removeAssignment(name);
      }
    }
  }

  /** Updates one machine's assignment, to this shard or to another. */
  public void updateAssignment(MachineAssignment assignment) {
    MachineName name = assignment.machine().name();
    if (!assignment.shard().equals(lease.shard())) {
      handovers.remove(name);
      removeAssignment(name);
      Machine kept = machines.get(name);
      if (kept != null) {
        kept.assignment().assignElsewhere();
      }
      return;
    }
    Machine machine = machine(name);
    initInfo(machine, assignment.machine());
    if (machine.assignment().assign(assignment, context.now())) {
      machine.session().clearConfirmed();
    }
    if (!machine.assignment().isHandoverRequested()) {
      handovers.remove(name);
    }
  }

  /** Records that the machine is not assigned to this shard. */
  public void removeAssignment(MachineName name) {
    Machine machine = machines.get(name);
    if (machine != null) {
      machine.assignment().unassign();
      machine.session().clearReconciled();
      if (machine.isEmpty()) {
        callbacks.refuseDeferredReply(machine);
        remove(machine);
        removedSessions.keep(machine);
      }
    }
  }

  /** Removes machines that were released, and abandons all attempts on them. */
  public void removeReleased(Collection<MachineName> names) {
    released.add(names, context.now());
    for (MachineName name : names) {
      handovers.remove(name);
      removedSessions.remove(name);
      Machine machine = machines.get(name);
      if (machine != null) {
        abandonAll(machine, "released");
        callbacks.refuseDeferredReply(machine);
        machine.clearUnrecordedTasks();
        remove(machine);
      }
    }
  }

  /** Reports whether a machine was lately released, so that nothing runs on it. */
  boolean isReleased(MachineName name) {
    return released.contains(name);
  }

  private void remove(Machine machine) {
    machines.remove(machine.name());
    machinesWithFreeCpus.remove(machine);
  }

  // ---- abandoned attempts -----------------------------------------------------------------------

  /**
   * Abandons all attempts on a machine, none of which is running any more.
   *
   * @param reason for the log
   */
  void abandonAll(Machine machine, String reason) {
    int count = machine.attempts().size();
    for (TaskAttempt attempt : new ArrayList<>(machine.attempts())) {
      callbacks.abandonAttempt(attempt);
    }
    if (count > 0) {
      context.info(
          "machine.tasks_lost machine=%s shard=%s tasks=%d reason=\"%s\"",
          machine.name(), lease.shard(), count, reason);
      context.count("machine.dead");
    }
  }

  /** Abandons a machine's attempts of incarnations before its worker's current one. */
  void abandonEarlierIncarnations(Machine machine) {
    for (TaskAttempt attempt : new ArrayList<>(machine.attempts())) {
      if (attempt.incarnation().compareTo(machine.session().incarnation()) < 0) {
        callbacks.abandonAttempt(attempt);
      }
    }
  }

  /** Marks the tasks on all machines as no longer known, before all records are read again. */
  void clearReconciled() {
    for (Machine machine : machines.values()) {
      callbacks.refuseDeferredReply(machine);
      machine.session().clearReconciled();
    }
  }

  /** Abandons the attempts on machines whose worker's lease has certainly expired. */
  void expireLeases(WorkerLiveness liveness) {
    for (Machine machine : machines.values()) {
      // If the machine is assigned to another shard, that shard's owner may be renewing its
      // worker's lease, so a lack of heartbeats to this owner proves nothing.
      if (!machine.isEmpty()
          && !machine.assignment().isAssignedElsewhere()
          && liveness.isLeaseExpired(machine)) {
        abandonAll(machine, "its worker's lease ran out");
        machine.clearUnrecordedTasks();
        machine.session().endIncarnation();
      }
    }
    foreignTasks.removeExpired();
    removedSessions.removeExpired();
  }

  /**
   * Revokes attempts on machines that are to be handed over, if a checkpoint keeps their progress
   * and they have run for {@link TaskAttempt#MIN_RUN_BEFORE_MOVE_S}. All other tasks on these
   * machines run to their end.
   */
  void revokeMovableAttempts() {
    if (!references.isTracking()) {
      return;
    }
    for (Machine machine : machines.values()) {
      if (!machine.assignment().isHandoverRequested()) {
        continue;
      }
      for (TaskAttempt attempt : machine.attempts()) {
        if (attempt.canMoveByCheckpoint(context.now())) {
          attempt.revoke();
          context.count("task.moved");
        }
      }
    }
  }

  // ---- heartbeats ------------------------------------------------------------------------------

  /**
   * Reports whether a heartbeat shows an epoch of this ownership. If so, answers of earlier owners
   * no longer reach the worker, and the heartbeat is not a copy from before the ownership.
   */
  boolean isConfirmedBy(Machine machine, WorkerHeartbeat heartbeat, Epoch firstEpoch) {
    Epoch required = Epoch.higher(machine.assignment().requiredEpoch(), firstEpoch);
    return heartbeat.token().epoch().compareTo(required) >= 0;
  }

  /**
   * Reports whether an attempt that belongs to no job of this shard may be stopped, or its result
   * discarded. Returns false while another shard's record names the attempt, and until the record
   * has been read.
   */
  boolean mayDiscard(Machine machine, TaskAttemptId attempt) {
    return foreignTasks.referenceStatus(machine.name(), attempt)
        == ForeignTasks.ReferenceStatus.UNREFERENCED;
  }

  // ---- handover ---------------------------------------------------------------------------------

  /**
   * Returns the machines whose handover is requested and that hold nothing of this shard any more,
   * and remembers them as handed over.
   */
  List<MachineHandover> handOver(WorkerLiveness liveness) {
    return handovers.handOver(machines.values(), liveness);
  }

  /**
   * Returns the machines that this owner may command: those assigned to the shard that it has not
   * handed over. Observers use it to check that no two owners command one machine.
   */
  public Set<MachineName> commandableMachines() {
    Set<MachineName> names = new HashSet<>();
    for (Machine machine : machines.values()) {
      if (machine.assignment().isAssigned() && !handovers.isHandedOver(machine)) {
        names.add(machine.name());
      }
    }
    return names;
  }

  /**
   * Returns the machines that hold tasks of this shard although they are assigned to another one.
   */
  List<MachineName> misplaced() {
    List<MachineName> names = new ArrayList<>();
    for (Machine machine : machines.values()) {
      if (machine.assignment().isAssignedElsewhere() && !machine.isEmpty()) {
        names.add(machine.name());
      }
    }
    return names;
  }
}
