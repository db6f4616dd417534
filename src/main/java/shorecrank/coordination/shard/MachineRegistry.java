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
 * The machines that a shard's owner knows of: which are assigned to the shard, which are to be
 * handed over, and when nothing of the shard is left on one so that it may be.
 */
public final class MachineRegistry {
  /** What the owner does with the tasks of a machine, and with an answer that it waits for. */
  interface Callbacks {
    /** The attempt is surely off its machine, without a result. */
    void loseAttempt(TaskAttempt attempt);

    /** A heartbeat whose answer was deferred gets none any more. */
    void refuseDeferredReply(Machine machine);
  }

  private final StepContext context;
  private final ShardLease lease;
  private final MachineReferences references;
  private final ForeignTasks foreignTasks;
  private final Callbacks callbacks;
  private final MachineHandovers handovers;
  private final Map<MachineName, Machine> machines = new TreeMap<>();

  /** Machines with free processors, so that a round in a full fleet looks at few. */
  private final Set<Machine> machinesWithFreeCpus = new ObjectLinkedOpenHashSet<>();

  private Map<String, MachineType> catalog = Map.of();

  /**
   * @param references machines that records may name
   * @param foreign tasks of other shards
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
    this.handovers = new MachineHandovers(references, foreignTasks);
  }

  /** All machines in the order of their names; not to be changed by the caller. */
  Map<MachineName, Machine> machines() {
    return machines;
  }

  /** A live view of the machines with free processors. */
  Set<Machine> machinesWithFreeCpus() {
    return machinesWithFreeCpus;
  }

  /** The machine of that name, which is known from now on. */
  Machine machine(MachineName name) {
    return machines.computeIfAbsent(name, absent -> new Machine(absent, machinesWithFreeCpus));
  }

  /** Which machines the shard's records may name. */
  MachineReferences references() {
    return references;
  }

  /** The machine types that can be rented, by name. */
  Map<String, MachineType> catalog() {
    return catalog;
  }

  /** The machine types that can be rented have changed. */
  void updateCatalog(Map<String, MachineType> types) {
    catalog = types;
    for (Machine machine : machines.values()) {
      if (machine.info() != null) {
        machine.setType(types.get(machine.info().type()));
      }
    }
  }

  /** What kind of machine it is. */
  void describe(Machine machine, MachineInfo info) {
    if (machine.info() == null) {
      machine.setInfo(info);
      machine.setType(catalog.get(info.type()));
    }
  }

  // ---- assignment ------------------------------------------------------------------------------

  /** All assignments, to whichever shard. */
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

  /** An assignment is new or has changed. */
  public void updateAssignment(MachineAssignment assignment) {
    MachineName name = assignment.machine().name();
    if (!assignment.shard().equals(lease.shard())) {
      handovers.forget(name);
      removeAssignment(name);
      Machine kept = machines.get(name);
      if (kept != null) {
        kept.assignment().assignElsewhere();
      }
      return;
    }
    Machine machine = machine(name);
    describe(machine, assignment.machine());
    if (machine.assignment().assign(assignment, context.now())) {
      machine.session().forgetConfirmation();
    }
    if (!machine.assignment().isHandoverRequested()) {
      handovers.forget(name);
    }
  }

  /** The machine is not assigned to this shard. */
  public void removeAssignment(MachineName name) {
    Machine machine = machines.get(name);
    if (machine != null) {
      machine.assignment().unassign();
      machine.session().forgetReconciliation();
      if (machine.isEmpty()) {
        callbacks.refuseDeferredReply(machine);
        remove(machine);
      }
    }
  }

  /** Machines that are surely gone, with all that ran on them. */
  public void removeReleased(Collection<MachineName> names) {
    for (MachineName name : names) {
      handovers.forget(name);
      Machine machine = machines.get(name);
      if (machine != null) {
        loseAll(machine, "released");
        callbacks.refuseDeferredReply(machine);
        machine.clearUnrecordedTasks();
        remove(machine);
      }
    }
  }

  private void remove(Machine machine) {
    machines.remove(machine.name());
    machinesWithFreeCpus.remove(machine);
  }

  // ---- tasks that are surely off ---------------------------------------------------------------

  /** All of a machine's tasks are surely off it. */
  void loseAll(Machine machine, String reason) {
    int count = machine.attempts().size();
    for (TaskAttempt attempt : new ArrayList<>(machine.attempts())) {
      callbacks.loseAttempt(attempt);
    }
    if (count > 0) {
      context.info(
          "machine.tasks_lost machine=%s shard=%s tasks=%d reason=\"%s\"",
          machine.name(), lease.shard(), count, reason);
      context.count("machine.dead");
    }
  }

  /** Gives the tasks of incarnations before the one that has begun up. */
  void loseEarlierIncarnations(Machine machine) {
    for (TaskAttempt attempt : new ArrayList<>(machine.attempts())) {
      if (attempt.incarnation().compareTo(machine.session().incarnation()) < 0) {
        callbacks.loseAttempt(attempt);
      }
    }
  }

  /** What the workers run is no longer known: the records are read anew. */
  void forgetReconciliation() {
    for (Machine machine : machines.values()) {
      callbacks.refuseDeferredReply(machine);
      machine.session().forgetReconciliation();
    }
  }

  /** Takes the tasks of machines whose worker's lease has surely run out. */
  void expireLeases(WorkerLiveness liveness) {
    for (Machine machine : machines.values()) {
      // The owner of another shard may renew the lease of one that is assigned there.
      if (!machine.isEmpty()
          && !machine.assignment().isAssignedElsewhere()
          && liveness.isLeaseExpired(machine)) {
        loseAll(machine, "its worker's lease ran out");
        machine.clearUnrecordedTasks();
        machine.session().endIncarnation();
      }
    }
    foreignTasks.removeExpired();
  }

  /**
   * Tasks that save don't keep a machine that is to be handed over, once they have run so long that
   * their start counts; all others run to their end.
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
   * Whether a heartbeat shows an epoch of this ownership, so that no earlier owner's answers reach
   * the worker and the heartbeat is no copy from before it.
   */
  boolean isConfirmedBy(Machine machine, WorkerHeartbeat heartbeat, Epoch firstEpoch) {
    Epoch required = Epoch.higher(machine.assignment().requiredEpoch(), firstEpoch);
    return heartbeat.token().epoch().compareTo(required) >= 0;
  }

  /**
   * Whether a task that no job of this shard explains may be stopped, or its result discarded:
   * never while the record of another shard names it, nor before that is known.
   */
  boolean mayDiscard(Machine machine, TaskAttemptId attempt) {
    return foreignTasks.referenceStatus(machine.name(), attempt)
        == ForeignTasks.ReferenceStatus.UNREFERENCED;
  }

  // ---- handing over ----------------------------------------------------------------------------

  /** Machines that were to be handed over and have nothing of this shard left. */
  List<MachineHandover> handOver(WorkerLiveness liveness) {
    return handovers.handOver(machines.values(), liveness);
  }

  /**
   * Machines that this owner may command: those assigned here that it has not handed over. For
   * observers.
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

  /** Machines that records of this shard name although they are assigned to another. */
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
