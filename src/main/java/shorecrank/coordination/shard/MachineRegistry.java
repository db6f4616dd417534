package shorecrank.coordination.shard;

import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.model.WorkerLiveness;
import shorecrank.coordination.scheduling.Autoscaler;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Ids.TaskAttemptId;
import shorecrank.protocol.PeerMessages.MachineAssignment;
import shorecrank.protocol.PeerMessages.MachineHandover;
import shorecrank.protocol.PeerMessages.MachineInfo;
import shorecrank.protocol.WorkerMessages.TaskStatus;
import shorecrank.protocol.WorkerMessages.WorkerHeartbeat;

/**
 * The machines that a shard's owner knows of: which are assigned to the shard, which are to be
 * handed over, and when nothing of the shard is left on one so that it may be.
 */
public final class MachineRegistry {
  /** What the owner does with the tasks of a machine, and with an answer that it waits for. */
  interface Tasks {
    /** The attempt is surely off its machine, without a result. */
    void lost(TaskAttempt task);

    /** A report whose answer was held back gets none any more. */
    void supersede(Machine machine);
  }

  private final StepContext context;
  private final ShardId shard;
  private final MachineReferences references;
  private final ForeignTasks foreign;
  private final Tasks tasks;
  private final Map<MachineName, Machine> machines = new TreeMap<>();

  /** Machines with free processors, so that a round in a full fleet looks at few. */
  private final Set<Machine> withRoom = new ObjectLinkedOpenHashSet<>();

  private Map<String, MachineType> catalog = Map.of();

  /**
   * The orders under which machines were handed back: that holds until a machine may be used again,
   * also while the leader says that it is nobody's.
   */
  private final Map<MachineName, MoveId> handovers = new HashMap<>();

  /**
   * @param references machines that records may name; null where there is only one shard
   * @param foreign tasks of other shards; null where there is only one shard
   */
  MachineRegistry(
      StepContext context,
      ShardId shard,
      MachineReferences references,
      ForeignTasks foreign,
      Tasks tasks) {
    this.context = context;
    this.shard = shard;
    this.references = references;
    this.foreign = foreign;
    this.tasks = tasks;
  }

  Map<MachineName, Machine> machines() {
    return machines;
  }

  Set<Machine> withRoom() {
    return withRoom;
  }

  /** The machine of that name, which is known from now on. */
  Machine machine(MachineName name) {
    return machines.computeIfAbsent(name, n -> new Machine(n, withRoom));
  }

  void catalog(Map<String, MachineType> types) {
    catalog = types;
    for (Machine h : machines.values()) {
      if (h.info() != null) {
        h.setType(types.get(h.info().type()));
      }
    }
  }

  /** What kind of machine it is. */
  void describe(Machine h, MachineInfo info) {
    if (h.info() == null) {
      h.describe(info);
      h.setType(catalog.get(info.type()));
    }
  }

  // ---- assignment ------------------------------------------------------------------------------

  /** All assignments, to whichever shard. */
  public void assignedAll(Collection<MachineAssignment> all) {
    Set<MachineName> named = new HashSet<>();
    for (MachineAssignment a : all) {
      assigned(a);
      named.add(a.host().name());
    }
    for (MachineName name : new ArrayList<>(machines.keySet())) {
      if (!named.contains(name)) {
        unassigned(name);
      }
    }
  }

  /** An assignment is new or has changed. */
  public void assigned(MachineAssignment a) {
    MachineName name = a.host().name();
    if (!a.shard().equals(shard)) {
      handovers.remove(name);
      unassigned(name);
      Machine kept = machines.get(name);
      if (kept != null) {
        kept.assignment().assignElsewhere();
      }
      return;
    }
    Machine h = machine(name);
    describe(h, a.host());
    if (h.assignment().assign(a, context.now())) {
      h.session().forgetConfirmation();
    }
    if (!h.assignment().isHandoverRequested()) {
      handovers.remove(name);
    }
  }

  /** The machine is not assigned to this shard. */
  public void unassigned(MachineName name) {
    Machine h = machines.get(name);
    if (h != null) {
      h.assignment().unassign();
      h.session().forgetReconciliation();
      if (h.isEmpty()) {
        tasks.supersede(h);
        drop(h);
      }
    }
  }

  /** Machines that are surely gone, with all that ran on them. */
  public void gone(Collection<MachineName> names) {
    for (MachineName name : names) {
      handovers.remove(name);
      Machine h = machines.get(name);
      if (h != null) {
        loseAll(h, "released");
        tasks.supersede(h);
        h.clearUnrecordedTasks();
        drop(h);
      }
    }
  }

  private void drop(Machine h) {
    machines.remove(h.name());
    withRoom.remove(h);
  }

  // ---- tasks that are surely off ---------------------------------------------------------------

  /** All of a machine's tasks are surely off it. */
  void loseAll(Machine h, String why) {
    int n = h.attempts().size();
    for (TaskAttempt t : new ArrayList<>(h.attempts())) {
      tasks.lost(t);
    }
    if (n > 0) {
      context.info("machine %s: %s: %d tasks surely off it (part %s)", h.name(), why, n, shard);
      context.count("machine.dead");
    }
  }

  /** Tasks of sessions before the one that has begun. */
  void loseOlder(Machine h) {
    for (TaskAttempt t : new ArrayList<>(h.attempts())) {
      if (t.incarnation().compareTo(h.session().incarnation()) < 0) {
        tasks.lost(t);
      }
    }
  }

  /** Takes the tasks of machines whose worker's lease has surely run out. */
  void expireLeases(WorkerLiveness liveness) {
    for (Machine h : machines.values()) {
      // The owner of another shard may renew the lease of one that is assigned there.
      if (!h.isEmpty() && !h.assignment().isElsewhere() && liveness.leaseOut(h)) {
        loseAll(h, "its worker's lease ran out");
        h.clearUnrecordedTasks();
        h.session().endIncarnation();
      }
    }
    if (foreign != null) {
      foreign.tidy();
    }
  }

  /**
   * Tasks that save don't keep a machine that is to be handed over, once they have run so long that
   * their start counts; all others run to their end.
   */
  void stopSavingTasks() {
    for (Machine h : machines.values()) {
      if (!h.assignment().isHandoverRequested()) {
        continue;
      }
      for (TaskAttempt t : h.attempts()) {
        if (t.canMoveByCheckpoint() && t.runSeconds(context.now()) > Autoscaler.SETTLED_S) {
          t.revoke();
          context.count("task.moved");
        }
      }
    }
  }

  // ---- reports ---------------------------------------------------------------------------------

  /** The epoch that a worker must have shown before its reports count. */
  static Epoch required(Machine h, Epoch ownersFirst) {
    return Epoch.higher(h.assignment().term(), ownersFirst);
  }

  /**
   * Whether a task that no job of this shard explains may be stopped, or its result discarded:
   * never while the record of another shard names it, nor before that is known.
   */
  boolean mayClear(Machine h, TaskAttemptId run) {
    return foreign == null || foreign.verdict(h.name(), run) == ForeignTasks.Verdict.UNCLAIMED;
  }

  // ---- handing over ----------------------------------------------------------------------------

  /** Machines that were to be handed over and have nothing of this shard left. */
  List<MachineHandover> handovers(WorkerLiveness liveness) {
    List<MachineHandover> back = new ArrayList<>();
    for (Machine h : machines.values()) {
      if (h.assignment().isHandoverRequested() && isSettled(h, liveness)) {
        back.add(new MachineHandover(h.name(), h.assignment().move()));
        handovers.put(h.name(), h.assignment().move());
      }
    }
    return back;
  }

  /**
   * Whether nothing of this shard is on the machine, can come to it, or is said of it by a record:
   * the worker has shown our token and lists nothing of ours in its last report, no command is
   * under way to it, and no record names it, not even by a write that is carried out late.
   */
  private boolean isSettled(Machine h, WorkerLiveness liveness) {
    return h.isEmpty()
        && h.session().isConfirmed()
        && liveness.fresh(h)
        && !h.session().tokens().mayDirectCommandAct()
        && (references == null || !references.mayName(h.name()))
        && listsOnlyForeign(h);
  }

  private boolean listsOnlyForeign(Machine h) {
    WorkerHeartbeat report = h.session().lastHeartbeat();
    if (report == null) {
      return false;
    }
    for (TaskStatus t : report.tasks()) {
      boolean elsewhere =
          foreign != null
              && foreign.verdict(h.name(), t.run()) == ForeignTasks.Verdict.NAMED_ELSEWHERE;
      if (!elsewhere) {
        return false;
      }
    }
    return true;
  }

  /**
   * Machines that this owner may command: those assigned here that it has not handed back. For
   * observers.
   */
  public Set<MachineName> commanded() {
    Set<MachineName> names = new HashSet<>();
    for (Machine h : machines.values()) {
      boolean isBack =
          h.assignment().isHandoverRequested()
              && h.assignment().move().equals(handovers.get(h.name()));
      if (h.assignment().isAssigned() && !isBack) {
        names.add(h.name());
      }
    }
    return names;
  }

  /** Machines that records of this shard name although they are assigned to another. */
  List<MachineName> misplaced() {
    List<MachineName> names = new ArrayList<>();
    for (Machine h : machines.values()) {
      if (h.assignment().isElsewhere() && !h.isEmpty()) {
        names.add(h.name());
      }
    }
    return names;
  }
}
