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
 * The leader's part in shares: it says how many processors each shard should have, and moves
 * machines between shards, each in steps that are written down before anybody is told of them.
 *
 * <p>{@link RebalancePlanner} begins moves, {@link OwnerInstructions} tells their owners, {@link
 * MoveStepper} takes them from phase to phase, and {@link MoveCommitter} writes each change down.
 */
public final class MoveCoordinator {
  private static final long STEP_PAUSE_MS = 250;
  private static final long PLAN_PAUSE_MS = 1000;

  /** Takes an order's outcome. */
  @FunctionalInterface
  public interface OutcomeListener {
    /**
     * Called once.
     *
     * @param outcome null if it is not known, and the order has to be sent again
     */
    void completed(ShareOutcome outcome);
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
   * @param gate says whether moves may be written down at the feature level in force
   * @param teamNames all teams of the platform
   * @param reasonsAgainstMoves why no move may begin now, a line each; empty if one may
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
    this.store = new SharesStore(environment, leadership, gate, this::outcomeResolved);
    this.shardCountCheck = new ShardCountCheck(environment, store, fleet.shardCount());
    this.reports = new OwnerReports(environment);
    this.times = new MoveTimes(environment, settings.restS());
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

  private void outcomeResolved(boolean isCarriedOut) {
    committer.outcomeResolved(isCarriedOut);
  }

  /**
   * Whether shards may be granted: moves under way are known, so that no owner uses a machine that
   * it was told to hand over, and jobs are assigned by the configured number of shards.
   */
  public boolean isReady() {
    boolean areOwnersTold = !store.isReadable() || instructions.areCurrent();
    return store.isRead() && shardCountCheck.isPassed() && areOwnersTold;
  }

  /** Whether an assignment may still be written that is not known here; then no other may be. */
  public boolean isUnsettled() {
    return committer.isInDoubt();
  }

  /** The leader has begun its term, or has read all assignments anew. */
  public void beginTerm() {
    committer.reset();
    reports.clear();
    instructions.reset();
    instructions.synchronize();
  }

  /** Reads the key if that is due; called once a round, also while no shard may be granted yet. */
  public void refresh() {
    store.tick();
    shardCountCheck.tick();
    if (!instructions.areCurrent()) {
      instructions.synchronize();
    }
  }

  /**
   * Takes the next steps of moves, or begins some; called once a round while shards are granted.
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

  /** Takes a report of a shard's owner that came under the shard's epoch. */
  public void handleReport(ShardReport report) {
    reports.handleReport(report, store.state());
  }

  /** A shard has a new owner, or its owner a new epoch. */
  public void handleNewEpoch(ShardId shard) {
    reports.ownerChanged(shard, store.state());
  }

  /** The shard to which a new machine is assigned. */
  public ShardId shardForNewMachine() {
    return planner.shardForNewMachine(store.state());
  }

  // ---- operators -------------------------------------------------------------------------------

  /** Why no order to move machines is taken now; empty if one is. */
  private List<String> reasonsAgainstOrders() {
    List<String> reasons = new ArrayList<>(reasonsAgainstMoves.get());
    if (!store.isPermitted()) {
      reasons.add(0, "the feature level in force knows no shares: see rollout status");
    }
    return reasons;
  }

  /** Carries an order out, once for each id. */
  public void handleOrder(ShareOrder order, OutcomeListener then) {
    if (!store.isReadable() || store.isInDoubt()) {
      then.completed(null);
      return;
    }
    ShareOrderEvaluator.Decision decision =
        orderEvaluator.evaluate(order, store.state(), reasonsAgainstOrders(), environment.wallMs());
    ShareOutcome outcome = decision.outcome();
    Optional<SharesState> next = decision.next();
    if (next.isEmpty()) {
      then.completed(outcome);
      return;
    }
    if (!store.isIdle()) {
      then.completed(null);
      return;
    }
    environment.info("shares.ordered id=%s text=\"%s\"", order.id(), outcome.text());
    committer.write(
        next.get()
            .withShards(fleet.shardCount())
            .withOutcome(outcome, MoveCapacity.MAX_ORDER_OUTCOMES),
        isCommitted -> then.completed(isCommitted ? outcome : null));
  }

  /** All that an operator is told of shares; null while the key is not known. */
  public SharesStatus status() {
    if (!store.isReadable()) {
      return null;
    }
    SharesStatusBuilder view =
        new SharesStatusBuilder(fleet, teams, store.state(), planner.targets(), reports, times);
    return view.status(reasonsAgainstOrders());
  }
}
