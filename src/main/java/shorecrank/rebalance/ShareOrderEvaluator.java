package shorecrank.rebalance;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.IntSupplier;
import org.apache.commons.codec.digest.MurmurHash3;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Json;
import shorecrank.protocol.ShareOrderCodec;
import shorecrank.protocol.ShareOrderMessages.AbortMoves;
import shorecrank.protocol.ShareOrderMessages.MoveMachines;
import shorecrank.protocol.ShareOrderMessages.SetShare;
import shorecrank.protocol.ShareOrderMessages.ShareOrder;
import shorecrank.protocol.ShareStateMessages.Move;
import shorecrank.protocol.ShareStateMessages.MovePhase;
import shorecrank.protocol.ShareStateMessages.ShareOutcome;
import shorecrank.protocol.ShareStateMessages.SharesState;
import shorecrank.protocol.ShareStateMessages.TeamShare;
import shorecrank.rebalance.FleetAssignments.FleetMachine;

/**
 * Evaluates operators' orders: decides whether an order can be carried out, what it changes in the
 * shares' key, and what the operator is told.
 */
final class ShareOrderEvaluator {
  /** The largest number of machines that are named in the text of an outcome. */
  private static final int MAX_NAMED_MACHINES = 20;

  private final FleetAssignments fleet;
  private final TeamShares teams;
  private final Function<ShardId, List<MachineName>> candidates;
  private final IntSupplier maxActive;

  /**
   * Creates an evaluator.
   *
   * @param candidates returns the machines that a shard could give up, the preferred ones first
   * @param maxActive returns how many moves may be under way at the same time
   */
  ShareOrderEvaluator(
      FleetAssignments fleet,
      TeamShares teams,
      Function<ShardId, List<MachineName>> candidates,
      IntSupplier maxActive) {
    this.fleet = fleet;
    this.teams = teams;
    this.candidates = candidates;
    this.maxActive = maxActive;
  }

  /**
   * The decision on an order.
   *
   * @param next the state to write, to which the outcome is yet to be added; empty if nothing is to
   *     be written
   */
  record Decision(Optional<SharesState> next, ShareOutcome outcome) {
    private static Decision unchanged(ShareOutcome outcome) {
      return new Decision(Optional.empty(), outcome);
    }
  }

  /** Thrown if an order can't be carried out; the message is the reason for the operator. */
  private static final class OrderRefusedException extends Exception {
    private static final long serialVersionUID = 1L;

    OrderRefusedException(String message) {
      super(message, null, false, false);
    }
  }

  /**
   * Evaluates an order. An order whose id was used before gets the outcome of the earlier order, or
   * is refused if its content differs.
   *
   * @param reasonsAgainstMoves the reasons why no move may begin now; empty if moves may begin
   * @param wallMs the wall-clock time, in milliseconds since 1970
   */
  Decision evaluate(
      ShareOrder order, SharesState state, List<String> reasonsAgainstMoves, long wallMs) {
    String content = digest(order);
    for (ShareOutcome earlier : state.recentOrders()) {
      if (earlier.id().equals(order.id())) {
        boolean isSame = earlier.contentDigest().equals(content);
        return isSame ? Decision.unchanged(earlier) : refuse(order, content, idReused(order));
      }
    }
    try {
      Decision decision = evaluateNew(order, content, state, reasonsAgainstMoves, wallMs);
      return order.dryRun() ? Decision.unchanged(decision.outcome()) : decision;
    } catch (OrderRefusedException e) {
      return refuse(order, content, e.getMessage());
    }
  }

  private static String idReused(ShareOrder order) {
    return "id %s was used for another order".formatted(order.id());
  }

  private static Decision refuse(ShareOrder order, String content, String reason) {
    return Decision.unchanged(new ShareOutcome(order.id(), content, false, reason, List.of()));
  }

  private static Decision accept(
      ShareOrder order, String content, SharesState next, String text, List<MoveId> moves) {
    String answer = order.dryRun() ? "dry run: " + text : text;
    return new Decision(
        Optional.of(next), new ShareOutcome(order.id(), content, true, answer, moves));
  }

  /** Returns a digest of an order's content, without its id and its dry-run flag. */
  private static String digest(ShareOrder order) {
    byte[] bytes = Json.bytes(ShareOrderCodec.write(order).without(List.of("id", "dryRun")));
    long[] hash = MurmurHash3.hash128x64(bytes);
    return "%016x".formatted(hash[0]);
  }

  private Decision evaluateNew(
      ShareOrder order, String content, SharesState state, List<String> reasonsAgainst, long wallMs)
      throws OrderRefusedException {
    if (!reasonsAgainst.isEmpty() && !(order instanceof AbortMoves)) {
      throw new OrderRefusedException(reasonsAgainst.get(0));
    }
    if (order instanceof SetShare set) {
      return setShare(set, content, state);
    }
    if (order instanceof MoveMachines move) {
      return moveMachines(move, content, state, wallMs);
    }
    return abortMoves((AbortMoves) order, content, state);
  }

  // ---- shares ----------------------------------------------------------------------------------

  private Decision setShare(SetShare order, String content, SharesState state)
      throws OrderRefusedException {
    if (!teams.hasTeam(order.team())) {
      throw new OrderRefusedException("unknown team " + order.team());
    }
    TeamShare current = teams.shareOf(order.team(), state.teams());
    TeamShare share =
        new TeamShare(
            order.team(),
            valueInRange("weight", order.weight(), current.weight()),
            valueInRange("min", order.minCpus(), current.minCpus()),
            valueInRange("max", order.maxCpus(), current.maxCpus()));
    if (share.maxCpus() > 0 && share.minCpus() > share.maxCpus()) {
      throw new OrderRefusedException(
          "min %s is above max %s"
              .formatted(formatNumber(share.minCpus()), formatNumber(share.maxCpus())));
    }
    SharesState next = state.withTeamShare(share);
    checkAllShares(next);
    String text =
        "team %s: weight %s, min %s, max %s"
            .formatted(
                share.team(),
                formatNumber(share.weight()),
                formatNumber(share.minCpus()),
                share.maxCpus() > 0 ? formatNumber(share.maxCpus()) : "none");
    return accept(order, content, next, text, List.of());
  }

  private static double valueInRange(String name, Double ordered, double current)
      throws OrderRefusedException {
    if (ordered == null) {
      return current;
    }
    if (!(ordered >= 0 && ordered <= 1e9)) {
      throw new OrderRefusedException(name + " must be from 0 to 1000000000");
    }
    return ordered;
  }

  private void checkAllShares(SharesState next) throws OrderRefusedException {
    List<TeamShare> all = teams.allShares(next.teams());
    if (all.stream().allMatch(share -> share.weight() <= 0)) {
      throw new OrderRefusedException("weight must not be 0 for all teams");
    }
    double minimums = all.stream().mapToDouble(TeamShare::minCpus).sum();
    double capacity = fleet.machines().stream().mapToDouble(FleetMachine::cpus).sum();
    if (minimums > capacity) {
      throw new OrderRefusedException(
          "minimums of all teams, %s, are above the capacity, %s"
              .formatted(formatNumber(minimums), formatNumber(capacity)));
    }
  }

  private static String formatNumber(double value) {
    return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
  }

  // ---- moves -----------------------------------------------------------------------------------

  private Decision moveMachines(MoveMachines order, String content, SharesState state, long wallMs)
      throws OrderRefusedException {
    checkShard(order.to());
    Set<MachineName> chosen =
        order.machines().isEmpty() ? chooseMachines(order, state) : namedMachines(order, state);
    int remaining = maxActive.getAsInt() - state.active().size();
    if (chosen.size() > remaining) {
      throw new OrderRefusedException(
          "%d machines are too many: %d moves are under way, and %d at the most"
              .formatted(chosen.size(), state.active().size(), maxActive.getAsInt()));
    }
    List<Move> begun = new ArrayList<>();
    for (MachineName name : chosen) {
      MoveId id = new MoveId(state.nextMove() + begun.size());
      begun.add(fleet.machine(name).moveTo(order.to(), id, order.id(), wallMs));
    }
    String text = "%d machines move to %s: %s".formatted(begun.size(), order.to(), names(chosen));
    List<MoveId> ids = begun.stream().map(Move::id).toList();
    return accept(order, content, state.withNewMoves(begun), text, ids);
  }

  private void checkShard(ShardId shard) throws OrderRefusedException {
    if (shard.value() >= fleet.shardCount()) {
      throw new OrderRefusedException(
          "unknown shard %s: there are %d".formatted(shard, fleet.shardCount()));
    }
  }

  private static String names(Set<MachineName> machines) {
    List<String> some =
        machines.stream().limit(MAX_NAMED_MACHINES).map(MachineName::value).toList();
    int more = machines.size() - some.size();
    return String.join(", ", some) + (more > 0 ? " and %d more".formatted(more) : "");
  }

  private Set<MachineName> namedMachines(MoveMachines order, SharesState state)
      throws OrderRefusedException {
    Set<MachineName> chosen = new LinkedHashSet<>();
    for (MachineName name : order.machines()) {
      FleetMachine machine = fleet.machine(name);
      if (machine == null) {
        throw new OrderRefusedException("unknown machine " + name);
      }
      Move other = state.activeMoveOf(name);
      if (other != null) {
        throw new OrderRefusedException(
            "machine %s is moving already: %s".formatted(name, describe(other)));
      }
      if (machine.shard().equals(order.to())) {
        throw new OrderRefusedException(
            "machine %s is in shard %s already".formatted(name, order.to()));
      }
      chosen.add(name);
    }
    return chosen;
  }

  private static String describe(Move move) {
    String by = move.order().isEmpty() ? "by need" : "by order " + move.order();
    return "move %s from %s to %s, %s".formatted(move.id(), move.from(), move.to(), by);
  }

  private Set<MachineName> chooseMachines(MoveMachines order, SharesState state)
      throws OrderRefusedException {
    checkShard(order.from());
    if (order.from().equals(order.to())) {
      throw new OrderRefusedException(
          "shard %s can't give machines to itself".formatted(order.to()));
    }
    Set<MachineName> chosen = new LinkedHashSet<>();
    List<MachineName> byPreference = new ArrayList<>(candidates.apply(order.from()));
    fleet.machines().forEach(machine -> byPreference.add(machine.name()));
    for (MachineName name : byPreference) {
      FleetMachine machine = fleet.machine(name);
      boolean isFree =
          machine != null
              && machine.shard().equals(order.from())
              && state.activeMoveOf(name) == null;
      if (isFree && chosen.size() < order.count()) {
        chosen.add(name);
      }
    }
    if (chosen.size() < order.count()) {
      throw new OrderRefusedException(
          "shard %s has %d machines that are not moving, not %d"
              .formatted(order.from(), chosen.size(), order.count()));
    }
    return chosen;
  }

  // ---- aborting --------------------------------------------------------------------------------

  private Decision abortMoves(AbortMoves order, String content, SharesState state)
      throws OrderRefusedException {
    List<MoveId> ended = new ArrayList<>();
    SharesState next = state;
    boolean areHandedOver = false;
    for (Move move : state.active()) {
      boolean isSelected =
          order.all()
              || move.id().equals(order.move())
              || (!order.order().isEmpty() && move.order().equals(order.order()));
      if (isSelected && move.phase() == MovePhase.HANDED_OVER) {
        areHandedOver = true;
      } else if (isSelected) {
        Move cancelled = move.aborted(MoveRules.Reason.ABORTED_BY_OPERATOR.text());
        next = next.withUpdatedMove(cancelled, MoveCapacity.MAX_ENDED_MOVES);
        ended.add(move.id());
      }
    }
    if (ended.isEmpty()) {
      throw new OrderRefusedException(
          areHandedOver
              ? "handed over already: move the machine back"
              : "no such move is under way");
    }
    return accept(order, content, next, "%d moves aborted".formatted(ended.size()), ended);
  }
}
