package shorecrank.rebalance;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import shorecrank.leadership.LeaderEnvironment;
import shorecrank.leadership.Leadership;
import shorecrank.protocol.HeartbeatMessages.ShardReport;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.ShareOrderMessages.ShareOrder;
import shorecrank.protocol.ShareStateMessages.Move;
import shorecrank.protocol.ShareStateMessages.ShareOutcome;
import shorecrank.protocol.ShareStateMessages.SharesState;
import shorecrank.protocol.ShareStatusMessages.SharesStatus;
import shorecrank.rollout.FeatureGate;

/**
 * Rebalances machines between shards, on behalf of the leader: computes how many processors each
 * shard should have, and moves machines step by step. Each step is written to the state service
 * before any shard owner is told of it, so that a new leader can continue the move.
 *
 * <p>{@link RebalancePlanner} begins moves, {@link OwnerInstructions} tells the shard owners what
 * to do for them, {@link MoveStepper} takes moves from phase to phase, and {@link MoveCommitter}
 * writes each change to the state service.
 */
public final class MoveCoordinator {
  private static final long STEP_PAUSE_MS = 250;
  private static final long PLAN_PAUSE_MS = 1000;

  /** Receives the outcome of an operator's order. */
  @FunctionalInterface
  public interface OutcomeListener {
    /**
     * Called once for each order.
     *
     * @param outcome null if the outcome is not known and the operator has to send the order again
     */
    void onOutcome(ShareOutcome outcome);
  }

  private final LeaderEnvironment environment;
  private final FleetAssignments fleet;
  private final TeamShares teams;
  private final Supplier<List<String>> reasonsAgainstMoves;
  private final SharesStore store;
  private final ShardCountCheck shardCountCheck;
  private final OwnerReports reports;
  private final MoveTimes times;
  private final RebalancePlanner planner;
  private final OwnerInstructions instructions;
  private final MoveCommitter committer;
  private final MoveStepper stepper;
  private final ShareOrderEvaluator orderEvaluator;
  private MonotonicTime steppedAt = MonotonicTime.NEVER;
  private MonotonicTime plannedAt = MonotonicTime.NEVER;

  /**
   * Creates the coordinator of one controller; it acts only while that controller is the leader.
   *
   * @param gate decides whether the feature level in force allows moves to be written
   * @param teamNames the names of all teams of the platform
   * @param reasonsAgainstMoves supplies the reasons why no move may begin now, one line each; empty
   *     if moves may begin
   */
  public MoveCoordinator(
      LeaderEnvironment environment,
      Leadership leadership,
      FeatureGate gate,
      FleetAssignments fleet,
      ShareSettings settings,
      List<String> teamNames,
      Supplier<List<String>> reasonsAgainstMoves) {
    this.environment = environment;
    this.fleet = fleet;
    this.teams = new TeamShares(teamNames, settings.teams(), fleet.shardCount());
    this.reasonsAgainstMoves = reasonsAgainstMoves;
    this.store = new SharesStore(environment, leadership, gate, this::onOutcomeResolved);
    this.shardCountCheck = new ShardCountCheck(environment, store, fleet.shardCount());
    this.reports = new OwnerReports(environment);
    this.times = new MoveTimes(environment, settings.cooldownS());
    MoveCapacity capacity = new MoveCapacity(environment);
    this.planner =
        new RebalancePlanner(environment, fleet, settings, teams, reports, times, capacity);
    this.instructions = new OwnerInstructions(store, fleet);
    this.committer = new MoveCommitter(environment, store, fleet, reports, instructions, times);
    this.stepper =
        new MoveStepper(environment, store, fleet, reports, committer, times, settings.timeoutS());
    this.orderEvaluator =
        new ShareOrderEvaluator(fleet, teams, reports::candidates, capacity::maxActive);
  }

  private void onOutcomeResolved(boolean isCommitted) {
    committer.onOutcomeResolved(isCommitted);
  }

  /**
   * Reports whether shards may be granted. The moves under way have to be known, otherwise an owner
   * could use a machine that it was told to hand over; and jobs have to be assigned by the
   * configured number of shards.
   */
  public boolean isReady() {
    boolean areOwnersTold = !store.isReadable() || instructions.areCurrent();
    return store.isRead() && shardCountCheck.isPassed() && areOwnersTold;
  }

  /**
   * Reports whether an assignment was written whose outcome is not known. No other assignment may
   * be written until the outcome is known.
   */
  public boolean isUnsettled() {
    return committer.isInDoubt();
  }

  /**
   * Discards the reports in memory and makes the instructions again, after the leader has begun its
   * term or has read all assignments again.
   */
  public void beginTerm() {
    committer.reset();
    reports.clear();
    instructions.reset();
    instructions.synchronize();
  }

  /**
   * Reads the shares' key if that is due, checks the number of shards and updates the instructions
   * to owners. Called on every tick of the leader, also while no shard may be granted.
   */
  public void refresh() {
    store.tick();
    shardCountCheck.tick();
    if (!instructions.areCurrent()) {
      instructions.synchronize();
    }
  }

  /**
   * Takes the next steps of moves, or begins new moves if there is no step to take. Called on every
   * tick of the leader while shards may be granted.
   */
  public void tick() {
    MonotonicTime now = environment.now();
    if (!store.isReadable() || now.since(steppedAt) < STEP_PAUSE_MS) {
      return;
    }
    steppedAt = now;
    if (!store.isIdle()) {
      return;
    }
    if (!stepper.takeSteps() && now.since(plannedAt) >= PLAN_PAUSE_MS) {
      plannedAt = now;
      plan();
    }
  }

  private void plan() {
    SharesState state = store.state();
    List<Move> moves = planner.plan(state, reasonsAgainstMoves);
    if (!moves.isEmpty()) {
      committer.write(state.withShards(fleet.shardCount()).withNewMoves(moves), isCommitted -> {});
    }
  }

  /** Handles a report that a shard's owner has sent under the shard's present epoch. */
  public void handleReport(ShardReport report) {
    reports.handleReport(report, store.state());
  }

  /** Handles a new epoch of a shard, for a new owner or for the same one. */
  public void handleNewEpoch(ShardId shard) {
    reports.onOwnerChanged(shard, store.state());
  }

  /** Returns the shard to which a new machine is to be assigned. */
  public ShardId shardForNewMachine() {
    return planner.shardForNewMachine(store.state());
  }

  // ---- operators -------------------------------------------------------------------------------

  /**
   * Returns the reasons why operators' orders, other than aborts, are refused now; empty if they
   * are not.
   */
  private List<String> reasonsAgainstOrders() {
    List<String> reasons = new ArrayList<>(reasonsAgainstMoves.get());
    if (!store.isPermitted()) {
      reasons.add(0, "the feature level in force knows no shares: see rollout status");
    }
    return reasons;
  }

  /** Executes an operator's order, once for each order id, and reports the outcome. */
  public void handleOrder(ShareOrder order, OutcomeListener listener) {
    if (!store.isReadable() || store.isInDoubt()) {
      listener.onOutcome(null);
      return;
    }
    ShareOrderEvaluator.Decision decision =
        orderEvaluator.evaluate(order, store.state(), reasonsAgainstOrders(), environment.wallMs());
    ShareOutcome outcome = decision.outcome();
    Optional<SharesState> next = decision.next();
    if (next.isEmpty()) {
      listener.onOutcome(outcome);
      return;
    }
    if (!store.isIdle()) {
      listener.onOutcome(null);
      return;
    }
    environment.info("shares.ordered id=%s text=\"%s\"", order.id(), outcome.text());
    committer.write(
        next.get()
            .withShards(fleet.shardCount())
            .withOutcome(outcome, MoveCapacity.MAX_ORDER_OUTCOMES),
        isCommitted -> listener.onOutcome(isCommitted ? outcome : null));
  }

  /** Returns the status of shares for operators; null while the shares' key is not readable. */
  public SharesStatus status() {
    if (!store.isReadable()) {
      return null;
    }
    SharesStatusBuilder builder =
        new SharesStatusBuilder(fleet, teams, store.state(), planner.targets(), reports, times);
    return builder.status(reasonsAgainstOrders());
  }
}
