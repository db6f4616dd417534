package shorecrank.coordination.leader;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.HeartbeatMessages.MachineInfo;
import shorecrank.protocol.HeartbeatMessages.ShardReport;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.StoreMessages.Transaction;
import shorecrank.rebalance.FleetAssignments;
import shorecrank.rebalance.MoveCoordinator;
import shorecrank.rebalance.ShareSettings;
import shorecrank.rollout.Feature;
import shorecrank.rollout.FeatureGate;
import shorecrank.rollout.RolloutCoordinator;

/**
 * Assigns machines by shares: presents the fleet to {@link MoveCoordinator} and carries out its
 * moves.
 */
final class ShareAssigner implements MachineAssigner, FleetAssignments {
  /**
   * The number of operations beside the assignments in a transaction: the write of the shares' key.
   */
  private static final int OTHER_OPERATIONS = 1;

  private static final int BYTES_PER_KB = 1024;

  private final StepContext context;
  private final MachineDirectory machines;
  private final ShardTable shards;
  private final RolloutCoordinator rollout;
  private final MoveCoordinator moves;
  private Map<String, MachineType> catalog = Map.of();

  ShareAssigner(
      StepContext context,
      Election election,
      RolloutCoordinator rollout,
      FeatureGate gate,
      ShareSettings settings,
      MachineDirectory machines,
      ShardTable shards) {
    this.context = context;
    this.machines = machines;
    this.shards = shards;
    this.rollout = rollout;
    this.moves =
        new MoveCoordinator(
            new StepLeaderEnvironment(context),
            election,
            gate,
            this,
            settings,
            List.copyOf(context.config().teams().keySet()),
            this::reasonsAgainstMoves);
  }

  /** Returns the coordinator that handles operators' requests for moves. */
  MoveCoordinator moveCoordinator() {
    return moves;
  }

  /** Updates the machine types that the cloud offers. */
  void updateCatalog(Map<String, MachineType> types) {
    catalog = types;
  }

  /**
   * Returns why machines may not move, one reason per controller that doesn't support shares: a
   * leader of an earlier version could grant it a shard at any time.
   */
  private List<String> reasonsAgainstMoves() {
    List<String> reasons = new ArrayList<>();
    for (ControllerName member : rollout.membersNotSupporting(Feature.SHARES.level())) {
      reasons.add(member + ": runs without shares, or a version that knows none");
    }
    return reasons;
  }

  // ---- for the leader --------------------------------------------------------------------------

  @Override
  public void beginTerm() {
    moves.beginTerm();
  }

  @Override
  public boolean isReady() {
    return moves.isReady();
  }

  @Override
  public void refresh() {
    moves.refresh();
  }

  @Override
  public boolean isUnsettled() {
    return moves.isUnsettled();
  }

  @Override
  public ShardId shardForNewMachine() {
    return moves.shardForNewMachine();
  }

  @Override
  public void handleReport(ShardReport report) {
    moves.handleReport(report);
  }

  @Override
  public void handleNewEpoch(ShardId shard) {
    moves.handleNewEpoch(shard);
  }

  @Override
  public void tick() {
    moves.tick();
  }

  // ---- for the move coordinator ----------------------------------------------------------------

  @Override
  public int shardCount() {
    return context.settings().shards();
  }

  @Override
  public Collection<FleetMachine> machines() {
    return machines.all().stream().map(this::toFleetMachine).toList();
  }

  @Override
  public List<MachineName> machinesWithMove() {
    return machines.all().stream()
        .filter(machine -> machine.move().isSet())
        .map(AssignedMachine::name)
        .toList();
  }

  @Override
  public FleetMachine machine(MachineName name) {
    AssignedMachine machine = machines.get(name);
    return machine == null ? null : toFleetMachine(machine);
  }

  private FleetMachine toFleetMachine(AssignedMachine machine) {
    MachineInfo info = machine.info();
    MachineType type = catalog.get(info.type());
    return new FleetMachine(
        info.name(),
        new Offer(info.type(), info.zone(), info.spot()),
        type == null ? 0 : type.cpus(),
        machine.shard(),
        machine.epoch(),
        machine.move());
  }

  @Override
  public Epoch epoch(ShardId shard) {
    return shards.epoch(shard);
  }

  @Override
  public String owner(ShardId shard) {
    ControllerName owner = shards.owner(shard);
    return owner == null ? "" : owner.value();
  }

  @Override
  public void raiseEpochAbove(ShardId shard, Epoch lowerBound) {
    shards.raiseEpochAbove(shard, lowerBound);
  }

  @Override
  public void requestHandover(MachineName name, MoveId move) {
    machines.requestHandover(machines.get(name), move);
  }

  @Override
  public void clearMove(MachineName name) {
    machines.clearMove(machines.get(name));
  }

  @Override
  public void awaitArrival(MachineName name, MoveId move) {
    machines.awaitArrival(machines.get(name), move);
  }

  @Override
  public void reload() {
    shards.reload();
  }

  @Override
  public Handover prepareHandover(Map<MachineName, ShardId> assignments) {
    Map<MachineName, NextAssignment> next = new TreeMap<>();
    assignments.forEach(
        (name, shard) -> next.put(name, new NextAssignment(shard, shards.epoch(shard))));
    int valueBytes = (int) (context.config().state().valueKb() * BYTES_PER_KB);
    return machines
        .prepare(next, OTHER_OPERATIONS, valueBytes)
        .map(DirectoryHandover::new)
        .orElse(null);
  }

  /** New assignments of machines that are moved, written through {@link MachineTransfer}. */
  private record DirectoryHandover(MachineTransfer transfer) implements Handover {
    @Override
    public Set<MachineName> machines() {
      return transfer.machines();
    }

    @Override
    public int operations() {
      return transfer.operations();
    }

    @Override
    public void addTo(Transaction transaction) {
      transfer.addTo(transaction);
    }

    @Override
    public void onCommitted(Revision at) {
      transfer.onCommitted(at);
    }

    @Override
    public void onRefused(boolean conflict) {
      transfer.onRefused(conflict);
    }
  }
}
