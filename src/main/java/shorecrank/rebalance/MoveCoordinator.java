package shorecrank.rebalance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;
import shorecrank.leadership.LeaderEnvironment;
import shorecrank.leadership.Leadership;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.PeerMessages.MachineHandover;
import shorecrank.protocol.PeerMessages.ShardReport;
import shorecrank.protocol.ShareMessages.DrainProgress;
import shorecrank.protocol.ShareMessages.Move;
import shorecrank.protocol.ShareMessages.MovePhase;
import shorecrank.protocol.ShareMessages.ShardDemand;
import shorecrank.protocol.ShareMessages.ShareOrder;
import shorecrank.protocol.ShareMessages.ShareOutcome;
import shorecrank.protocol.ShareMessages.SharesState;
import shorecrank.protocol.ShareMessages.SharesStatus;
import shorecrank.protocol.StoreMessages.Transaction;
import shorecrank.rebalance.MoveRules.Observation;
import shorecrank.rebalance.MoveRules.Reason;
import shorecrank.rebalance.MoveRules.Step;
import shorecrank.rebalance.ShareFleet.FleetMachine;
import shorecrank.rebalance.ShareFleet.Handover;
import shorecrank.rebalance.ShareTargets.Claim;
import shorecrank.rollout.FeatureGate;
import shorecrank.storage.CommitResult;

/**
 * The leader's part in shares: it says how many processors each shard should have, and moves
 * machines between shards, each in steps that are written down before anybody is told.
 */
public final class MoveCoordinator {
  private static final long STEP_PAUSE_MS = 250;
  private static final long PLAN_PAUSE_MS = 1000;

  /** A report of this age says nothing of a shard's need any more. */
  private static final long FRESH_MS = 4000;

  /** Moves that ended, and outcomes of orders, that are kept. */
  static final int KEPT_ENDED = 16;

  static final int KEPT_ORDERS = 16;

  /** What a value holds beside moves that are under way, and what one of them takes. */
  private static final int KEPT_BYTES = KEPT_ENDED * 110 + KEPT_ORDERS * 200 + 200;

  private static final int MOVE_BYTES = 90;
  private static final double VALUE_FILL = 0.9;

  /** What a machine counts beside its processors where a newcomer's shard is chosen. */
  private static final double MACHINE_TIE_BREAK = 1e-6;

  private static final long LONGEST_MOVE_MS = 3_600_000;
  private static final int HISTOGRAM_DIGITS = 2;

  /** Takes an order's outcome; null if it is not known, and the order has to be sent again. */
  @FunctionalInterface
  public interface OnOutcome {
    /** Called once. */
    void outcome(ShareOutcome outcome);
  }

  /** What a shard's owner said last. */
  private record Report(
      ShardDemand demand,
      boolean knowsMoves,
      Map<MoveId, DrainProgress> draining,
      MonotonicTime at) {}

  private final LeaderEnvironment environment;
  private final ShareFleet fleet;
  private final ShareSettings settings;
  private final TeamShares teams;
  private final SharesStore store;
  private final ShardNumberCheck numberCheck;
  private final ShareOrders orders;
  private final Supplier<List<String>> reasonsAgainstMoves;

  private final Map<ShardId, Report> reports = new HashMap<>();
  private final Set<MoveId> handovers = new HashSet<>();
  private final Set<MoveId> arrived = new HashSet<>();
  private final Map<ShardId, MonotonicTime> lackingSince = new HashMap<>();
  private final Map<MachineName, MonotonicTime> restingUntil = new HashMap<>();
  private final Map<MachineName, ShardId> misplaced = new TreeMap<>();
  private final Histogram moveTimes = new Histogram(LONGEST_MOVE_MS, HISTOGRAM_DIGITS);
  private Map<ShardId, Double> targets = new TreeMap<>();

  /** The key's revision as of which owners are told of moves; null before the first. */
  private Revision toldRevision;

  /** Assignments in a transaction that is under way or without an answer. */
  private Handover handover;

  private MonotonicTime steppedAt = MonotonicTime.NEVER;
  private MonotonicTime plannedAt = MonotonicTime.NEVER;

  /**
   * @param gate says whether moves may be written down at the level in force
   * @param teamNames all teams of the platform
   * @param reasonsAgainstMoves why no move may begin now, a line each; empty if one may
   */
  public MoveCoordinator(
      LeaderEnvironment environment,
      Leadership leadership,
      FeatureGate gate,
      ShareFleet fleet,
      ShareSettings settings,
      List<String> teamNames,
      Supplier<List<String>> reasonsAgainstMoves) {
    this.environment = environment;
    this.fleet = fleet;
    this.settings = settings;
    this.teams = new TeamShares(teamNames, settings.teams(), fleet.shards());
    this.store = new SharesStore(environment, leadership, gate, this::settled);
    this.numberCheck = new ShardNumberCheck(environment, store, fleet.shards());
    this.orders = new ShareOrders(fleet, teams, this::candidates, this::mostActive);
    this.reasonsAgainstMoves = reasonsAgainstMoves;
  }

  /**
   * Whether shards may be granted: moves under way are known, so that no owner uses a machine that
   * it was told to hand over, and jobs are assigned by the configured number of shards.
   */
  public boolean ready() {
    boolean told = !store.isReadable() || store.revision().equals(toldRevision);
    return store.isRead() && numberCheck.isPassed() && told;
  }

  /** Whether an assignment may yet be written that is not known here; then none other may be. */
  public boolean inDoubt() {
    return handover != null || store.isInDoubt();
  }

  /** Assignments were read anew. */
  public void began() {
    handover = null;
    reports.clear();
    handovers.clear();
    arrived.clear();
    misplaced.clear();
    toldRevision = null;
    synchronize();
  }

  /** Looks at the key, also while no shard may be granted yet. */
  public void look() {
    store.tick();
    numberCheck.tick();
    if (!store.revision().equals(toldRevision)) {
      synchronize();
    }
  }

  /** Once a round, while shards may be granted. */
  public void tick() {
    MonotonicTime now = environment.now();
    if (!store.isReadable() || now.since(steppedAt) < STEP_PAUSE_MS) {
      return;
    }
    steppedAt = now;
    if (!store.isIdle()) {
      return;
    }
    if (!takeSteps() && now.since(plannedAt) >= PLAN_PAUSE_MS) {
      plannedAt = now;
      plan();
    }
  }

  /** A shard's owner reports, under the shard's epoch. */
  public void reported(ShardReport report) {
    Map<MoveId, DrainProgress> draining = new HashMap<>();
    if (report.demand() != null) {
      report.demand().draining().forEach(p -> draining.put(p.move(), p));
      arrived.addAll(report.demand().arrived());
    }
    reports.put(
        report.shard(),
        new Report(report.demand(), report.repeatsMoves(), draining, environment.now()));
    for (MachineHandover back : report.handovers()) {
      Move move = store.state().moveOf(back.machine());
      if (move != null && move.id().equals(back.move()) && move.from().equals(report.shard())) {
        handovers.add(move.id());
      }
    }
    report.misplaced().forEach(name -> misplaced.put(name, report.shard()));
  }

  /**
   * A shard has a new owner, or its owner a new epoch. What was handed back before is asked for
   * again: the new owner was told that the machine is still its own.
   */
  public void minted(ShardId shard) {
    reports.remove(shard);
    for (Move move : store.state().active()) {
      if (move.from().equals(shard)) {
        handovers.remove(move.id());
      }
    }
  }

  /** The shard that lacks the most; of equals, that with the fewest machines. */
  public ShardId shardOfNewcomer() {
    Map<ShardId, Double> present = present();
    // While machine types are not known, machines have no processors, but still count.
    fleet.machines().forEach(m -> present.merge(m.shard(), MACHINE_TIE_BREAK, Double::sum));
    ShardId best = new ShardId(0);
    double most = Double.NEGATIVE_INFINITY;
    for (int i = 0; i < fleet.shards(); i++) {
      ShardId shard = new ShardId(i);
      double lack = targets.getOrDefault(shard, 0.0) - present.getOrDefault(shard, 0.0);
      if (lack > most) {
        most = lack;
        best = shard;
      }
    }
    return best;
  }

  // ---- what owners are told --------------------------------------------------------------------

  /** Makes the assignments' orders those of the moves that are written down. */
  private void synchronize() {
    if (!store.isReadable()) {
      return;
    }
    for (Move move : store.state().active()) {
      FleetMachine machine = fleet.machine(move.machine());
      if (machine == null || machine.order().equals(move.id())) {
        continue;
      }
      if (move.phase() != MovePhase.HANDED_OVER && machine.shard().equals(move.from())) {
        fleet.handoverRequested(machine.name(), move.id());
      } else if (move.phase() == MovePhase.HANDED_OVER && machine.shard().equals(move.to())) {
        fleet.awaitArrival(machine.name(), move.id());
      }
    }
    for (MachineName machine : fleet.ordered()) {
      if (store.state().moveOf(machine) == null) {
        fleet.keep(machine);
      }
    }
    toldRevision = store.revision();
  }

  // ---- steps of moves --------------------------------------------------------------------------

  private Observation observe(Move move) {
    FleetMachine machine = fleet.machine(move.machine());
    Report owner = reports.get(move.from());
    return new Observation(
        machine == null ? null : machine.shard(),
        machine == null ? Epoch.NONE : machine.term(),
        owner == null ? null : owner.draining.get(move.id()),
        owner == null || owner.knowsMoves,
        handovers.contains(move.id()),
        arrived.contains(move.id()),
        ageS(move));
  }

  private double ageS(Move move) {
    return Math.max(0, environment.wallMs() - move.beganMs()) / 1000.0;
  }

  /** Writes down the next steps of all moves; false if there is none. */
  private boolean takeSteps() {
    SharesState next = store.state();
    Map<MachineName, ShardId> handovers = new LinkedHashMap<>();
    List<Move> toHandOver = new ArrayList<>();
    for (Move move : store.state().active()) {
      Step step = MoveRules.next(move, observe(move), settings.timeoutS());
      switch (step.action()) {
        case STAY -> {}
        case NOTE_DRAINING -> next = next.withChanged(move.in(MovePhase.DRAINING), KEPT_ENDED);
        case HAND_OVER -> {
          if (epochIsAbove(move)) {
            handovers.put(move.machine(), move.to());
            toHandOver.add(move);
          }
        }
        case FINISH -> next = next.withChanged(move.in(MovePhase.DONE), KEPT_ENDED);
        case ABORT -> next = next.withChanged(cancelled(move, step.reason()), KEPT_ENDED);
      }
    }
    boolean affordable = environment.hasWrites(1 + handovers.size());
    Handover prepared = handovers.isEmpty() || !affordable ? null : fleet.prepare(handovers);
    if (prepared != null) {
      for (Move move : toHandOver) {
        if (prepared.machines().contains(move.machine())) {
          next = next.withChanged(move.in(MovePhase.HANDED_OVER), KEPT_ENDED);
        }
      }
    }
    if (next == store.state()) {
      return false;
    }
    write(next, prepared, committed -> {});
    return true;
  }

  private Move cancelled(Move move, Reason reason) {
    environment.info(
        "move aborted id=%s machine=%s from=%s to=%s reason=\"%s\"",
        move.id(), move.machine(), move.from(), move.to(), reason.text());
    environment.count("shares.moves.aborted", 1);
    return move.cancelled(reason.text());
  }

  /** The new owner's token must be above any that the machine's worker may have been shown. */
  private boolean epochIsAbove(Move move) {
    FleetMachine machine = fleet.machine(move.machine());
    Epoch last = fleet.epoch(move.from());
    Epoch least = machine == null ? last : Epoch.higher(machine.term(), last);
    if (fleet.owner(move.to()).isEmpty()) {
      return false;
    }
    if (!fleet.epoch(move.to()).above(least)) {
      fleet.raiseAbove(move.to(), least);
      return false;
    }
    return true;
  }

  /** Told whether a change was committed. */
  @FunctionalInterface
  private interface OnCommit {
    void over(boolean committed);
  }

  private void write(SharesState next, Handover prepared, OnCommit then) {
    int operations = 1 + (prepared == null ? 0 : prepared.operations());
    if (!environment.takeWrites(operations)) {
      refused(prepared, false);
      then.over(false);
      return;
    }
    handover = prepared;
    SharesState before = store.state();
    store.write(
        next,
        transaction -> addHandover(transaction, prepared),
        result -> {
          if (result instanceof CommitResult.Committed done) {
            if (prepared != null) {
              prepared.committed(done.revision());
            }
            handover = null;
            committed(before, next);
          } else if (!result.isUnknown()) {
            refused(prepared, result instanceof CommitResult.Conflict);
            handover = null;
          }
          // Of unknown outcome, it is settled later; until then no assignment is written.
          then.over(result.isCommitted());
        });
  }

  private static void addHandover(Transaction transaction, Handover prepared) {
    if (prepared != null) {
      prepared.addTo(transaction);
    }
  }

  private void settled(boolean carriedOut) {
    Handover open = handover;
    handover = null;
    if (carriedOut) {
      fleet.reload();
    } else {
      refused(open, false);
    }
  }

  /**
   * Machines stay where they were. Their owners were told meanwhile that they have none of them, so
   * they are asked anew whether anything is left.
   */
  private void refused(Handover prepared, boolean conflict) {
    if (prepared == null) {
      return;
    }
    prepared.refused(conflict);
    for (MachineName machine : prepared.machines()) {
      Move move = store.state().moveOf(machine);
      if (move != null) {
        handovers.remove(move.id());
      }
    }
  }

  private void committed(SharesState before, SharesState after) {
    for (Move move : after.active()) {
      boolean news = before.active().stream().noneMatch(m -> m.equals(move));
      if (news) {
        environment.info(
            "move %s id=%s machine=%s from=%s to=%s order=%s",
            move.phase().wire(), move.id(), move.machine(), move.from(), move.to(), move.order());
      }
    }
    for (Move move : after.ended()) {
      if (!before.ended().contains(move)) {
        ended(move);
      }
    }
    synchronize();
  }

  private void ended(Move move) {
    MonotonicTime rest = environment.now().plus((long) (settings.restS() * 1000));
    restingUntil.put(move.machine(), rest);
    handovers.remove(move.id());
    arrived.remove(move.id());
    if (move.phase() == MovePhase.DONE) {
      long ms = (long) (ageS(move) * 1000);
      moveTimes.recordValue(Math.min(LONGEST_MOVE_MS, ms));
      environment.count("shares.moves.done", 1);
      environment.count("shares.moves.done.ms", ms);
      environment.info("move done id=%s machine=%s ms=%d", move.id(), move.machine(), ms);
    }
  }

  // ---- planning --------------------------------------------------------------------------------

  /** Processors by shard, with moves under way counted where they lead. */
  private Map<ShardId, Double> present() {
    Map<ShardId, Double> present = new TreeMap<>();
    for (int i = 0; i < fleet.shards(); i++) {
      present.put(new ShardId(i), 0.0);
    }
    for (FleetMachine machine : fleet.machines()) {
      Move move = store.state().moveOf(machine.name());
      ShardId shard = move == null ? machine.shard() : move.to();
      present.merge(shard, machine.cpus(), Double::sum);
    }
    return present;
  }

  private ShardDemand freshDemand(ShardId shard) {
    Report report = reports.get(shard);
    boolean fresh = report != null && environment.now().since(report.at) <= FRESH_MS;
    return fresh ? report.demand : null;
  }

  private void plan() {
    Map<ShardId, Double> present = present();
    Map<ShardId, Claim> claims = new TreeMap<>();
    Map<ShardId, ShardDemand> demands = new TreeMap<>();
    teams
        .byShard(store.state().teams())
        .forEach(
            (shard, share) -> {
              ShardDemand demand = freshDemand(shard);
              claims.put(shard, new Claim(share, demand, present.get(shard)));
              if (demand != null) {
                demands.put(shard, demand);
              }
            });
    double capacity = present.values().stream().mapToDouble(Double::doubleValue).sum();
    targets = ShareTargets.compute(capacity, claims);
    tell(present);
    List<Move> begun = new ArrayList<>(reclaims());
    if (begun.isEmpty() && settings.automatic() && reasonsAgainstMoves.get().isEmpty()) {
      begun.addAll(byNeed(present, demands));
    }
    if (!begun.isEmpty()) {
      write(store.state().withShards(fleet.shards()).withBegun(begun), null, c -> {});
    }
  }

  private void tell(Map<ShardId, Double> present) {
    targets.forEach((shard, cpus) -> environment.gauge("shares.target." + shard, cpus));
    present.forEach((shard, cpus) -> environment.gauge("shares.present." + shard, cpus));
    environment.gauge("shares.moves.active", store.state().active().size());
    environment.gauge("shares.move.ms.p50", moveTimes.getValueAtPercentile(50));
    environment.gauge("shares.move.ms.p99", moveTimes.getValueAtPercentile(99));
  }

  /** A move by need; {@code offset} counts those that begin with it. */
  private Move begin(int offset, MachineName machine, ShardId to) {
    MoveId id = new MoveId(store.state().nextMove() + offset);
    return fleet.machine(machine).moveTo(to, id, "", environment.wallMs());
  }

  /** Machines on which tasks of a shard may run go back to that shard. */
  private List<Move> reclaims() {
    List<Move> moves = new ArrayList<>();
    misplaced.forEach(
        (name, shard) -> {
          FleetMachine machine = fleet.machine(name);
          boolean elsewhere = machine != null && !machine.shard().equals(shard);
          if (elsewhere && store.state().moveOf(name) == null && moves.size() < room()) {
            environment.info(
                "machine reclaimed machine=%s shard=%s assigned=%s", name, shard, machine.shard());
            moves.add(begin(moves.size(), name, shard));
          }
        });
    misplaced.clear();
    return moves;
  }

  private List<Move> byNeed(Map<ShardId, Double> present, Map<ShardId, ShardDemand> demands) {
    int most = Math.min(settings.movesAtOnce() - store.state().active().size(), room());
    if (most <= 0) {
      return List.of();
    }
    MovePlanner planner =
        new MovePlanner(
            new MovePlanner.Situation(
                targets, present, demands, receiving(present, demands), this::mayMove),
            fleet.machines(),
            settings.tolerance());
    List<Move> moves = new ArrayList<>();
    for (MovePlanner.Planned planned : planner.plan(most)) {
      moves.add(begin(moves.size(), planned.machine(), planned.to()));
    }
    return moves;
  }

  /** Shards that have lacked machines for long enough, and have tasks waiting. */
  private Set<ShardId> receiving(Map<ShardId, Double> present, Map<ShardId, ShardDemand> demands) {
    MonotonicTime now = environment.now();
    Set<ShardId> receiving = new HashSet<>();
    targets.forEach(
        (shard, target) -> {
          ShardDemand demand = demands.get(shard);
          boolean lacks = demand != null && demand.allWaiting() > 0 && target > present.get(shard);
          if (!lacks) {
            lackingSince.remove(shard);
            return;
          }
          MonotonicTime since = lackingSince.computeIfAbsent(shard, s -> now);
          if (now.since(since) >= settings.settleS() * 1000) {
            receiving.add(shard);
          }
        });
    return receiving;
  }

  private boolean mayMove(MachineName machine) {
    MonotonicTime until = restingUntil.get(machine);
    if (until != null && until.before(environment.now())) {
      restingUntil.remove(machine);
      until = null;
    }
    return until == null && store.state().moveOf(machine) == null;
  }

  /** So many moves fit into the key's value. */
  private int mostActive() {
    double left = environment.valueBytes() * VALUE_FILL - KEPT_BYTES;
    return (int) Math.max(1, left / MOVE_BYTES);
  }

  private int room() {
    return Math.max(0, mostActive() - store.state().active().size());
  }

  /** Machines that a shard's owner would give up first. */
  private List<MachineName> candidates(ShardId shard) {
    ShardDemand demand = freshDemand(shard);
    return demand == null ? List.of() : demand.candidates().stream().map(c -> c.machine()).toList();
  }

  // ---- operators -------------------------------------------------------------------------------

  /** Why no order to move machines is taken now; empty if one is. */
  private List<String> reasonsAgainst() {
    List<String> reasons = new ArrayList<>(reasonsAgainstMoves.get());
    if (!store.isPermitted()) {
      reasons.add(0, "the feature level in force knows no shares: see rollout status");
    }
    return reasons;
  }

  /** Carries an order out, once for each id. */
  public void order(ShareOrder order, OnOutcome then) {
    if (!store.isReadable() || store.isInDoubt()) {
      then.outcome(null);
      return;
    }
    ShareOrders.Decision decision =
        orders.decide(order, store.state(), reasonsAgainst(), environment.wallMs());
    if (decision.next() == null) {
      then.outcome(decision.outcome());
      return;
    }
    if (!store.isIdle()) {
      then.outcome(null);
      return;
    }
    environment.info("shares order id=%s text=\"%s\"", order.id(), decision.outcome().text());
    SharesState next =
        decision.next().withShards(fleet.shards()).with(decision.outcome(), KEPT_ORDERS);
    write(next, null, committed -> then.outcome(committed ? decision.outcome() : null));
  }

  /** All that an operator is told; null while the key is not known. */
  public SharesStatus status() {
    if (!store.isReadable()) {
      return null;
    }
    return new StatusView(fleet, teams, store.state(), targets)
        .of(
            reasonsAgainst(),
            shard -> reports.containsKey(shard) ? reports.get(shard).demand : null,
            this::ageS,
            this::waitsFor,
            moveTimes);
  }

  private String waitsFor(Move move) {
    Report owner = reports.get(move.from());
    DrainProgress progress = owner == null ? null : owner.draining.get(move.id());
    return switch (move.phase()) {
      case REQUESTED -> "its owner to be told";
      case DRAINING ->
          progress == null
              ? "its owner's report"
              : progress.tasks() > 0
                  ? "%d tasks to end, in about %.0f s"
                      .formatted(progress.tasks(), progress.emptyInS())
                  : "records that may name it to be settled";
      case HANDED_OVER -> "its new owner to hear it";
      case DONE, ABORTED -> "";
    };
  }
}
