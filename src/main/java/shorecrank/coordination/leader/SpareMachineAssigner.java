package shorecrank.coordination.leader;

import shorecrank.coordination.leader.MachineDirectory.Machine;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.PeerMessages.MachineHandover;
import shorecrank.protocol.PeerMessages.ShardReport;

/**
 * Gives machines that a shard leaves empty to a shard in which tasks wait. Orders are kept in
 * memory only: a new leader begins anew, and answers to an earlier leader's orders count for
 * nothing.
 */
final class SpareMachineAssigner implements MachineAssigner {
  /** So many orders of one term have ids of their own. */
  private static final int ORDER_BITS = 20;

  private final StepContext context;
  private final MachineDirectory machines;
  private final ShardTable shards;
  private Revision term = Revision.ABSENT;
  private long orders;

  SpareMachineAssigner(StepContext context, MachineDirectory machines, ShardTable shards) {
    this.context = context;
    this.machines = machines;
    this.shards = shards;
  }

  @Override
  public void began() {
    if (!machines.term().equals(term)) {
      term = machines.term();
      orders = 0;
    }
  }

  @Override
  public boolean ready() {
    return true;
  }

  @Override
  public void look() {}

  @Override
  public boolean inDoubt() {
    return false;
  }

  @Override
  public void minted(ShardId shard) {}

  @Override
  public void tick() {}

  @Override
  public ShardId shardOfNewcomer() {
    return neediest();
  }

  private ShardId neediest() {
    ShardId best = new ShardId(0);
    if (shards.shards().size() == 1) {
      return best;
    }
    long most = Long.MIN_VALUE;
    for (ShardId shard : shards.shards()) {
      long need = (shards.hasQueue(shard) ? 1000 : 0) - machines.count(shard);
      if (need > most) {
        most = need;
        best = shard;
      }
    }
    return best;
  }

  @Override
  public void reported(ShardReport report) {
    if (!report.repeatsMoves()) {
      // An earlier version may hand a machine back too early, and under an order that is over.
      keepAll(report.shard());
      return;
    }
    for (MachineHandover back : report.handovers()) {
      Machine machine = machines.get(back.machine());
      boolean asOrdered =
          machine != null && machine.handoverRequested && machine.move.equals(back.move());
      if (asOrdered && machine.shard.equals(report.shard())) {
        handOver(machine, report.shard());
      }
    }
    for (MachineName name : report.misplaced()) {
      reclaim(name, report.shard());
    }
    if (!report.spare().isEmpty() && anotherQueues(report.shard())) {
      Machine machine = machines.get(report.spare().get(0));
      if (machine != null && machine.shard.equals(report.shard()) && !machine.handoverRequested) {
        machines.handoverRequested(machine, nextOrder());
      }
    }
  }

  private void keepAll(ShardId shard) {
    for (Machine machine : machines.all()) {
      if (machine.handoverRequested && machine.shard.equals(shard)) {
        machines.keep(machine);
      }
    }
  }

  /** A machine on which tasks of a shard may run goes back to that shard. */
  private void reclaim(MachineName name, ShardId shard) {
    Machine machine = machines.get(name);
    boolean known =
        machine != null && machine.handoverRequested && shard.equals(machine.reclaimedBy);
    if (machine == null || machine.shard.equals(shard) || known) {
      return;
    }
    context.info("machine %s: claimed by part %s, assigned to %s", name, shard, machine.shard);
    context.count("machine.reclaimed");
    machine.reclaimedBy = shard;
    if (!machine.handoverRequested) {
      machines.handoverRequested(machine, nextOrder());
    }
  }

  private MoveId nextOrder() {
    return new MoveId((term.value() << ORDER_BITS) + ++orders);
  }

  private boolean anotherQueues(ShardId but) {
    return shards.shards().stream().anyMatch(s -> !s.equals(but) && shards.hasQueue(s));
  }

  /** Empty of the last shard's tasks, and assigned anew only above its term. */
  private void handOver(Machine machine, ShardId from) {
    ShardId to = machine.reclaimedBy != null ? machine.reclaimedBy : neediest();
    if (to.equals(from)) {
      machines.keep(machine);
      return;
    }
    Epoch last = Epoch.higher(machine.term, shards.epoch(from));
    if (!shards.epoch(to).above(last)) {
      shards.raiseAbove(to, last);
      return;
    }
    // Until the new assignment is written down and told, the machine is nobody's.
    machines.remove(machine.info.name());
    machines.assign(machine.info, to, shards.epoch(to));
  }
}
