package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.ShardId;

/**
 * Shards' shares of the machines, in the state service and between controllers: what owners report,
 * the key that holds the moves, and operators' orders with their outcomes.
 */
public final class ShareMessages {
  private ShareMessages() {}

  /** The key that holds the {@link SharesState}. */
  public static final String KEY = "shares";

  /** Paths on the peer address, for the command-line client and between controllers. */
  public static final String SHOW = "/shares/show";

  public static final String ORDERS = "/shares/orders";

  /** The form of the key; another one is not read. */
  private static final long FORMAT = 1;

  private static final int MAX_LISTED = 4096;
  private static final int MAX_TEXT = 300;
  private static final double MAX_CPUS = 1e9;
  private static final double MAX_SECONDS = 1e9;

  private static final String MOVES = "moves";
  private static final String ENDED = "ended";
  private static final String TEAMS = "teams";
  private static final String OUTCOMES = "orders";

  // ---- what an owner reports -------------------------------------------------------------------

  /** A machine that a shard could give up, and in how many seconds it would be empty. */
  public record Candidate(MachineName machine, double cpus, double emptyInS) {}

  /** What keeps a machine from being handed over. */
  public enum DrainState {
    /** Tasks run on it, or records that may name it are not settled. */
    DRAINING,
    /** Its worker is not heard. */
    SILENT,
    /** The cloud takes it back. */
    NOTICED;

    String wire() {
      return name().toLowerCase(Locale.ROOT);
    }

    static DrainState of(String wire) {
      for (DrainState state : values()) {
        if (state.wire().equals(wire)) {
          return state;
        }
      }
      return null;
    }
  }

  /**
   * How far a machine is that is to be handed over.
   *
   * @param tasks those that it still holds
   * @param emptyInS in how many seconds they should have ended
   */
  public record DrainProgress(MoveId move, DrainState state, int tasks, double emptyInS) {}

  /**
   * What a shard has, needs and could give up. Amounts are processors.
   *
   * @param capacity of the machines that it may place tasks on
   * @param running taken by tasks
   * @param waiting asked for by waiting tasks within their teams' limits, by priority, the highest
   *     first
   * @param guaranteed of what runs and waits, the part within its teams' guarantees
   * @param oldestWaitS since when the oldest job without any task waits, in seconds
   * @param kinds machines that waiting tasks could run on
   * @param candidates machines that it could give up, the soonest empty first
   * @param arrived orders whose machine has come and is heard
   */
  public record ShardDemand(
      double capacity,
      double running,
      List<Double> waiting,
      double guaranteed,
      double oldestWaitS,
      List<Offer> kinds,
      List<Candidate> candidates,
      List<DrainProgress> draining,
      List<MoveId> arrived) {

    /** All that waits, whatever its priority. */
    public double allWaiting() {
      return waiting.stream().mapToDouble(Double::doubleValue).sum();
    }
  }

  static ObjectNode write(ShardDemand d) {
    ObjectNode n = Json.object().put("capacity", d.capacity).put("running", d.running);
    ArrayNode waiting = n.putArray("waiting");
    d.waiting.forEach(waiting::add);
    n.put("guaranteed", d.guaranteed).put("oldestWaitS", d.oldestWaitS);
    ArrayNode kinds = n.putArray("kinds");
    d.kinds.forEach(k -> kinds.addArray().add(k.type()).add(k.zone()).add(k.spot()));
    ArrayNode candidates = n.putArray("candidates");
    for (Candidate c : d.candidates) {
      candidates.addArray().add(c.machine.value()).add(c.cpus).add(c.emptyInS);
    }
    ArrayNode draining = n.putArray("draining");
    for (DrainProgress p : d.draining) {
      draining.addArray().add(p.move.value()).add(p.state.wire()).add(p.tasks).add(p.emptyInS);
    }
    ArrayNode arrived = n.putArray("arrived");
    d.arrived.forEach(id -> arrived.add(id.value()));
    return n;
  }

  /** Null if there is none or it is malformed: the shard then neither gives nor gets machines. */
  static ShardDemand readDemand(JsonNode n) {
    if (!n.isObject()) {
      return null;
    }
    try {
      return demand(n);
    } catch (Malformed e) {
      return null;
    }
  }

  private static ShardDemand demand(JsonNode n) throws Malformed {
    List<Double> waiting = new ArrayList<>();
    for (JsonNode w : list(n.path("waiting"))) {
      waiting.add(amount(w, MAX_CPUS));
    }
    List<Offer> kinds = new ArrayList<>();
    for (JsonNode k : list(n.path("kinds"))) {
      kinds.add(new Offer(text(k.path(0)), Json.text(k.path(1)), k.path(2).asBoolean()));
    }
    List<Candidate> candidates = new ArrayList<>();
    for (JsonNode c : list(n.path("candidates"))) {
      candidates.add(
          new Candidate(
              machine(c.path(0)), amount(c.path(1), MAX_CPUS), amount(c.path(2), MAX_SECONDS)));
    }
    List<DrainProgress> draining = new ArrayList<>();
    for (JsonNode d : list(n.path("draining"))) {
      DrainState state = DrainState.of(Json.text(d.path(1)));
      if (state == null) {
        throw new Malformed();
      }
      draining.add(
          new DrainProgress(
              move(d.path(0)),
              state,
              (int) Math.min(Integer.MAX_VALUE, count(d.path(2))),
              amount(d.path(3), MAX_SECONDS)));
    }
    List<MoveId> arrived = new ArrayList<>();
    for (JsonNode a : list(n.path("arrived"))) {
      arrived.add(move(a));
    }
    return new ShardDemand(
        amount(n.path("capacity"), MAX_CPUS),
        amount(n.path("running"), MAX_CPUS),
        List.copyOf(waiting),
        amount(n.path("guaranteed"), MAX_CPUS),
        amount(n.path("oldestWaitS"), MAX_SECONDS),
        List.copyOf(kinds),
        List.copyOf(candidates),
        List.copyOf(draining),
        List.copyOf(arrived));
  }

  // ---- the key ---------------------------------------------------------------------------------

  /** How far a move is. */
  public enum MovePhase {
    /** Written down; the owner may not know of it yet. */
    REQUESTED,
    /** The owner places nothing on the machine any more. */
    DRAINING,
    /** Assigned to the other shard, whose owner has not heard the machine yet. */
    HANDED_OVER,
    /** The other owner hears the machine. */
    DONE,
    /** Ended before that; the reason says why. */
    ABORTED;

    /** The name in the state service and for operators. */
    public String wire() {
      return name().toLowerCase(Locale.ROOT);
    }

    /** Whether nothing more happens to it. */
    public boolean isEnd() {
      return this == DONE || this == ABORTED;
    }

    static MovePhase of(String wire) {
      for (MovePhase phase : values()) {
        if (phase.wire().equals(wire)) {
          return phase;
        }
      }
      return null;
    }
  }

  /**
   * The passage of a machine from one shard to another.
   *
   * @param term the term of the machine's assignment when the move began: its fencing token
   * @param order the operator's order that asked for it; empty if it was need
   * @param beganMs the time of day at which it was written down, in milliseconds
   * @param reason why it ended, if it was cancelled; else empty
   */
  public record Move(
      MoveId id,
      MachineName machine,
      ShardId from,
      ShardId to,
      Epoch term,
      MovePhase phase,
      String order,
      long beganMs,
      String reason) {

    /** The same, further on. */
    public Move in(MovePhase next) {
      return new Move(id, machine, from, to, term, next, order, beganMs, reason);
    }

    /** Ended before its machine was handed over, or heard. */
    public Move cancelled(String why) {
      return new Move(id, machine, from, to, term, MovePhase.ABORTED, order, beganMs, why);
    }
  }

  /**
   * An operator's words on a team's share; they replace those of the settings file.
   *
   * @param weight of its need beside others'
   * @param minCpus processors that its shard keeps
   * @param maxCpus processors that its shard gets at the most; 0 for no bound
   */
  public record TeamShare(String team, double weight, double minCpus, double maxCpus) {}

  /**
   * What became of an order.
   *
   * @param content a digest of what was ordered: the same id with other content is refused
   * @param moves the moves that it began, or is about
   */
  public record ShareOutcome(
      String id, String content, boolean accepted, String text, List<MoveId> moves) {}

  /**
   * The key's value.
   *
   * @param shards the number of shards by which jobs and machines were assigned; 0 if not known
   * @param nextMove the number of the next move; none is used twice
   * @param active moves that are under way
   * @param ended the latest that ended, the oldest first
   */
  public record SharesState(
      int shards,
      long nextMove,
      List<Move> active,
      List<Move> ended,
      List<TeamShare> teams,
      List<ShareOutcome> recentOrders) {
    /** Of a store that has never held the key. */
    public static final SharesState INITIAL =
        new SharesState(0, 1, List.of(), List.of(), List.of(), List.of());

    /** The active move of a machine; null if there is none. */
    public Move moveOf(MachineName machine) {
      return active.stream().filter(m -> m.machine.equals(machine)).findFirst().orElse(null);
    }

    /** The same with other moves under way. */
    public SharesState withActive(List<Move> moves) {
      return new SharesState(shards, nextMove, List.copyOf(moves), ended, teams, recentOrders);
    }

    /** The same of a fleet with so many shards. */
    public SharesState withShards(int number) {
      return new SharesState(number, nextMove, active, ended, teams, recentOrders);
    }

    /** The same with moves that begin; their numbers follow each other from the next. */
    public SharesState withBegun(List<Move> begun) {
      List<Move> all = new ArrayList<>(active);
      all.addAll(begun);
      long next = nextMove + begun.size();
      return new SharesState(shards, next, List.copyOf(all), ended, teams, recentOrders);
    }

    /** The same with a move further on, or ended, of which the latest {@code most} are kept. */
    public SharesState withChanged(Move move, int most) {
      List<Move> all = new ArrayList<>(active);
      all.replaceAll(m -> m.id.equals(move.id) ? move : m);
      all.removeIf(m -> m.phase.isEnd());
      List<Move> over = new ArrayList<>(ended);
      if (move.phase.isEnd()) {
        over.add(move);
      }
      return new SharesState(
          shards, nextMove, List.copyOf(all), latest(over, most), teams, recentOrders);
    }

    /** The same with one more outcome, of which the latest {@code most} are kept. */
    public SharesState with(ShareOutcome outcome, int most) {
      List<ShareOutcome> all = new ArrayList<>(recentOrders);
      all.add(outcome);
      return new SharesState(shards, nextMove, active, ended, teams, latest(all, most));
    }

    /** The same with a team's share as an operator wants it. */
    public SharesState with(TeamShare share) {
      List<TeamShare> all = new ArrayList<>(teams);
      all.removeIf(t -> t.team.equals(share.team));
      all.add(share);
      return new SharesState(shards, nextMove, active, ended, List.copyOf(all), recentOrders);
    }

    /** The last {@code most} of a list. */
    public static <T> List<T> latest(List<T> all, int most) {
      return List.copyOf(all.subList(Math.max(0, all.size() - most), all.size()));
    }
  }

  /** The key's value as JSON. */
  public static ObjectNode write(SharesState s) {
    ObjectNode n = Json.object().put("v", FORMAT).put("parts", s.shards).put("next", s.nextMove);
    ArrayNode moves = n.putArray(MOVES);
    s.active.forEach(m -> moves.add(columns(m)));
    ArrayNode ended = n.putArray(ENDED);
    s.ended.forEach(m -> ended.add(columns(m)));
    ArrayNode teams = n.putArray(TEAMS);
    for (TeamShare t : s.teams) {
      teams.add(write(t));
    }
    ArrayNode orders = n.putArray(OUTCOMES);
    s.recentOrders.forEach(o -> orders.add(write(o)));
    return n;
  }

  /** Many moves are to fit into one value, so their fields have no names there. */
  private static ArrayNode columns(Move m) {
    ArrayNode a = Json.array().add(m.id.value()).add(m.machine.value());
    a.add(m.from.value()).add(m.to.value()).add(m.term.value()).add(m.phase.wire());
    return a.add(m.order).add(m.beganMs).add(m.reason);
  }

  /** Null if the value is not of this form, or holds what no version writes. */
  public static SharesState readState(JsonNode n) {
    try {
      return state(n);
    } catch (Malformed e) {
      return null;
    }
  }

  private static SharesState state(JsonNode n) throws Malformed {
    if (Json.count(n.path("v")) != FORMAT) {
      throw new Malformed();
    }
    long next = count(n.path("next"));
    List<Move> active = new ArrayList<>();
    for (JsonNode m : list(n.path(MOVES))) {
      Move move = readMove(m);
      boolean twice = active.stream().anyMatch(o -> o.machine.equals(move.machine));
      if (move.phase.isEnd() || move.id.value() >= next || twice) {
        throw new Malformed();
      }
      active.add(move);
    }
    List<Move> ended = new ArrayList<>();
    for (JsonNode m : list(n.path(ENDED))) {
      ended.add(readMove(m));
    }
    List<TeamShare> teams = new ArrayList<>();
    for (JsonNode t : list(n.path(TEAMS))) {
      teams.add(readTeamShare(t));
    }
    List<ShareOutcome> orders = new ArrayList<>();
    for (JsonNode o : list(n.path(OUTCOMES))) {
      orders.add(outcome(o));
    }
    return new SharesState(
        shard(n.path("parts")).value(),
        next,
        List.copyOf(active),
        List.copyOf(ended),
        List.copyOf(teams),
        List.copyOf(orders));
  }

  private static Move readMove(JsonNode m) throws Malformed {
    MovePhase phase = MovePhase.of(Json.text(m.path(5)));
    if (phase == null) {
      throw new Malformed();
    }
    return new Move(
        move(m.path(0)),
        machine(m.path(1)),
        shard(m.path(2)),
        shard(m.path(3)),
        new Epoch(count(m.path(4))),
        phase,
        Json.text(m.path(6)),
        count(m.path(7)),
        Json.text(m.path(8)));
  }

  private static ObjectNode write(TeamShare t) {
    return Json.object()
        .put("team", t.team)
        .put("weight", t.weight)
        .put("minCpus", t.minCpus)
        .put("maxCpus", t.maxCpus);
  }

  private static TeamShare readTeamShare(JsonNode t) throws Malformed {
    return new TeamShare(
        text(t.path("team")),
        amount(t.path("weight"), MAX_CPUS),
        amount(t.path("minCpus"), MAX_CPUS),
        amount(t.path("maxCpus"), MAX_CPUS));
  }

  /** An order's outcome, as it stands in the key and as the client gets it. */
  public static ObjectNode write(ShareOutcome o) {
    ObjectNode n = Json.object().put("id", o.id).put("content", o.content);
    n.put("accepted", o.accepted).put("text", o.text);
    ArrayNode moves = n.putArray(MOVES);
    o.moves.forEach(m -> moves.add(m.value()));
    return n;
  }

  private static ShareOutcome outcome(JsonNode o) throws Malformed {
    List<MoveId> moves = new ArrayList<>();
    for (JsonNode m : list(o.path(MOVES))) {
      moves.add(move(m));
    }
    return new ShareOutcome(
        text(o.path("id")),
        Json.text(o.path("content")),
        o.path("accepted").asBoolean(),
        Json.text(o.path("text")),
        List.copyOf(moves));
  }

  // ---- operators -------------------------------------------------------------------------------

  /** What an operator asks for. */
  public sealed interface ShareOrder permits SetShare, MoveMachines, AbortMoves {
    /** Under one id an order is carried out once. */
    String id();

    /** Whether only the plan is asked for. */
    boolean dryRun();
  }

  /** Sets a team's share; what is null stays as it is. */
  public record SetShare(
      String id, boolean dryRun, String team, Double weight, Double minCpus, Double maxCpus)
      implements ShareOrder {}

  /**
   * Moves machines to a shard: those named, or so many of another shard.
   *
   * @param from the shard that gives them; null if machines are named
   * @param count how many; 0 if machines are named
   */
  public record MoveMachines(
      String id, boolean dryRun, List<MachineName> machines, ShardId from, int count, ShardId to)
      implements ShareOrder {}

  /** Aborts a move, all of an order, or all that are under way. */
  public record AbortMoves(String id, boolean dryRun, MoveId move, String order, boolean all)
      implements ShareOrder {}

  private static final String SET = "set";
  private static final String MOVE = "move";
  private static final String ABORT = "abort";

  /** An order as the client sends it. */
  public static ObjectNode write(ShareOrder order) {
    ObjectNode n = Json.object().put("id", order.id()).put("dryRun", order.dryRun());
    if (order instanceof SetShare s) {
      n.put("order", SET).put("team", s.team);
      putUnlessNull(n, "weight", s.weight);
      putUnlessNull(n, "minCpus", s.minCpus);
      putUnlessNull(n, "maxCpus", s.maxCpus);
    } else if (order instanceof MoveMachines m) {
      n.put("order", MOVE).put("to", m.to.value()).put("count", m.count);
      ArrayNode machines = n.putArray("machines");
      m.machines.forEach(h -> machines.add(h.value()));
      if (m.from != null) {
        n.put("from", m.from.value());
      }
    } else if (order instanceof AbortMoves a) {
      n.put("order", ABORT).put("move", a.move.value()).put("of", a.order).put("all", a.all);
    }
    return n;
  }

  private static void putUnlessNull(ObjectNode n, String field, Double value) {
    if (value != null) {
      n.put(field, value);
    }
  }

  /** Null if malformed. */
  public static ShareOrder readOrder(JsonNode n) {
    try {
      String id = text(n.path("id"));
      boolean dryRun = n.path("dryRun").asBoolean(false);
      return switch (Json.text(n.path("order"))) {
        case SET ->
            new SetShare(
                id,
                dryRun,
                text(n.path("team")),
                number(n.path("weight")),
                number(n.path("minCpus")),
                number(n.path("maxCpus")));
        case MOVE -> moveOrder(id, dryRun, n);
        case ABORT ->
            new AbortMoves(
                id,
                dryRun,
                new MoveId(Math.max(0, Json.count(n.path("move")))),
                Json.text(n.path("of")),
                n.path("all").asBoolean(false));
        default -> null;
      };
    } catch (Malformed e) {
      return null;
    }
  }

  private static MoveMachines moveOrder(String id, boolean dryRun, JsonNode n) throws Malformed {
    List<MachineName> machines = new ArrayList<>();
    for (JsonNode m : list(n.path("machines"))) {
      machines.add(machine(m));
    }
    ShardId from = n.has("from") ? shard(n.path("from")) : null;
    int count = (int) Math.min(Integer.MAX_VALUE, count(n.path("count")));
    boolean byName = from == null && count == 0 && !machines.isEmpty();
    boolean byNumber = from != null && count > 0 && machines.isEmpty();
    if (!byName && !byNumber) {
      throw new Malformed();
    }
    return new MoveMachines(id, dryRun, machines, from, count, shard(n.path("to")));
  }

  // ---- what operators are shown ----------------------------------------------------------------

  /** A shard as the leader sees it; amounts are processors. */
  public record ShardStatus(
      ShardId shard,
      String owner,
      int machines,
      double cpus,
      double target,
      double running,
      double waiting,
      List<String> teams) {}

  /** A move, and what is in its way. */
  public record MoveStatus(Move move, double ageS, String waitsFor) {}

  /** All that an operator is told. */
  public record SharesStatus(
      boolean moving,
      String reason,
      List<ShardStatus> shards,
      List<MoveStatus> active,
      List<Move> ended,
      List<TeamShare> teams,
      long medianMs,
      long p99Ms) {}

  /** The status as JSON. */
  public static ObjectNode write(SharesStatus s) {
    ObjectNode n = Json.object().put("moving", s.moving).put("reason", s.reason);
    ArrayNode shards = n.putArray("shards");
    for (ShardStatus p : s.shards) {
      ObjectNode o = shards.addObject().put("shard", p.shard.value()).put("owner", p.owner);
      o.put("machines", p.machines).put("cpus", p.cpus).put("target", p.target);
      o.put("running", p.running).put("waiting", p.waiting);
      ArrayNode teams = o.putArray(TEAMS);
      p.teams.forEach(teams::add);
    }
    ArrayNode moves = n.putArray(MOVES);
    for (MoveStatus m : s.active) {
      moves.add(write(m.move).put("ageS", m.ageS).put("waitsFor", m.waitsFor));
    }
    ArrayNode ended = n.putArray(ENDED);
    s.ended.forEach(m -> ended.add(write(m)));
    ArrayNode teams = n.putArray(TEAMS);
    s.teams.forEach(t -> teams.add(write(t)));
    return n.put("medianMs", s.medianMs).put("p99Ms", s.p99Ms);
  }

  private static ObjectNode write(Move m) {
    ObjectNode o = Json.object().put("id", m.id.value()).put("machine", m.machine.value());
    o.put("from", m.from.value()).put("to", m.to.value()).put("phase", m.phase.wire());
    return o.put("order", m.order).put("beganMs", m.beganMs).put("reason", m.reason);
  }

  // ---- reading ---------------------------------------------------------------------------------

  /** A field holds something that no version writes. */
  private static final class Malformed extends Exception {
    private static final long serialVersionUID = 1L;

    Malformed() {
      super(null, null, false, false);
    }
  }

  private static JsonNode list(JsonNode n) throws Malformed {
    if (n.size() > MAX_LISTED) {
      throw new Malformed();
    }
    return n;
  }

  private static long count(JsonNode n) throws Malformed {
    long value = Json.count(n);
    if (value < 0) {
      throw new Malformed();
    }
    return value;
  }

  private static double amount(JsonNode n, double most) throws Malformed {
    double value = n.isNumber() ? n.doubleValue() : -1;
    if (!(value >= 0 && value <= most)) {
      throw new Malformed();
    }
    return value;
  }

  /** Null if there is none; it may be negative, which the order's handler refuses with a reason. */
  private static Double number(JsonNode n) throws Malformed {
    if (n.isMissingNode() || n.isNull()) {
      return null;
    }
    if (!n.isNumber()) {
      throw new Malformed();
    }
    return n.doubleValue();
  }

  private static String text(JsonNode n) throws Malformed {
    String value = Json.text(n);
    if (value.isEmpty() || value.length() > MAX_TEXT) {
      throw new Malformed();
    }
    return value;
  }

  private static MachineName machine(JsonNode n) throws Malformed {
    return new MachineName(text(n));
  }

  private static MoveId move(JsonNode n) throws Malformed {
    long id = count(n);
    if (id == 0) {
      throw new Malformed();
    }
    return new MoveId(id);
  }

  private static ShardId shard(JsonNode n) throws Malformed {
    long shard = count(n);
    if (shard > Integer.MAX_VALUE) {
      throw new Malformed();
    }
    return new ShardId((int) shard);
  }
}
