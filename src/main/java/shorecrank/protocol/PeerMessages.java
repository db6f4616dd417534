package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.FencingToken;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.RolloutMessages.Announcement;
import shorecrank.protocol.RolloutMessages.Notice;
import shorecrank.protocol.ShareMessages.ShardDemand;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.protocol.UserMessages.JobStatus;

/**
 * Messages between controllers: every controller beats to the leader, which answers with leases.
 */
public final class PeerMessages {
  private PeerMessages() {}

  public static final String HEARTBEAT = "/peer/beat";
  public static final String HEARTBEAT_NOW = "/peer/nudge";
  public static final String ASK = "/peer/ask";
  public static final String RELAY = "/peer/relay";

  /** Asks which cancellations the other has confirmed to users. */
  public static final String CONFIRMED = "/peer/confirmed";

  private static final String TERM = "term";
  private static final String MOVE = "move";
  private static final String MOVES = "moves";
  private static final String MISPLACED = "misplaced";
  private static final String DEMAND = "demand";
  private static final int MAX_PARTS = 1_000_000;
  private static final int MAX_COUNT = Integer.MAX_VALUE;
  private static final long MAX_LEASE_MS = 86_400_000;

  /** So many confirmed cancellations are told of in one message if the asker names no number. */
  public static final int DEFAULT_CONFIRMED = 2000;

  /** So many jobs at most are asked for in one message. */
  public static final int MAX_ASKED = 400;

  /** A machine somebody saw, or that is lent. */
  public record MachineInfo(MachineName name, String type, String zone, boolean spot) {}

  public record CapacityRequest(Offer offer, int count) {}

  /** Of the machines that an owner should hear, how many it does not, and where they are most. */
  public record WorkerReachability(int expected, int unheard, List<String> unreachableZones) {}

  /**
   * A machine that its owner has emptied on an order.
   *
   * @param move the order; {@link MoveId#NONE} from versions that don't repeat it
   */
  public record MachineHandover(MachineName machine, MoveId move) {}

  /**
   * What an owner says of one part. {@code fenced} is an epoch that refused it, or NONE.
   *
   * @param misplaced machines that records of this shard name although they are assigned to another
   * @param repeatsMoves whether the owner repeats the order's id when it hands a machine back
   * @param demand what the shard needs and could give up; null where shares are not enabled
   */
  public record ShardReport(
      ShardId shard,
      Epoch epoch,
      Epoch fenced,
      boolean queued,
      WorkerReachability hearing,
      List<CapacityRequest> capacityRequests,
      List<MachineName> retire,
      List<MachineName> spare,
      List<MachineHandover> handovers,
      List<MachineName> misplaced,
      boolean repeatsMoves,
      ShardDemand demand) {
    /** Of an owner that can't take the part under its present epoch. */
    public static ShardReport refused(ShardId shard, Epoch epoch) {
      return new ShardReport(
          shard,
          epoch,
          epoch,
          true,
          new WorkerReachability(0, 0, List.of()),
          List.of(),
          List.of(),
          List.of(),
          List.of(),
          List.of(),
          false,
          null);
    }
  }

  /**
   * {@code misroutedWorkers} counts, by part, workers that lately came here and were sent to its
   * owner.
   *
   * @param announcement what the sender supports; null if it says nothing
   */
  public record Heartbeat(
      ControllerName from,
      WriterId writer,
      boolean stateOk,
      long assignmentVersion,
      List<ShardReport> shards,
      List<MachineInfo> seen,
      Map<ShardId, Integer> misroutedWorkers,
      Announcement announcement) {}

  public record Lease(ShardId shard, Epoch epoch, long ttlMs) {}

  public record OwnerInfo(ShardId shard, ControllerName label, Epoch epoch) {}

  /**
   * A machine's shard.
   *
   * @param term the lowest epoch under which its worker's reports count; NONE where there is only
   *     one shard
   * @param move the order under which it is to be handed over ({@code handoverRequested}) or has
   *     just come
   */
  public record MachineAssignment(
      MachineInfo host,
      ShardId shard,
      long ageMs,
      Epoch term,
      boolean handoverRequested,
      MoveId move) {}

  public record UnavailableOffer(Offer offer, long forMs) {}

  /**
   * {@code assigned} is all that is lent if {@code whole}, else what changed since the asker's
   * version.
   *
   * @param rollout the feature level as the leader knows it; null if it says nothing
   */
  public record HeartbeatAnswer(
      long term,
      boolean othersStateOk,
      List<Lease> leases,
      List<OwnerInfo> owners,
      long assignmentVersion,
      boolean whole,
      List<MachineAssignment> assigned,
      List<MachineName> unassigned,
      List<MachineName> gone,
      List<UnavailableOffer> blocked,
      Notice rollout) {}

  public static ObjectNode write(Heartbeat b) {
    ObjectNode n = Json.object();
    n.put("from", b.from.value()).put("writer", b.writer.value()).put("stateOk", b.stateOk);
    n.put("ver", b.assignmentVersion);
    ArrayNode ps = n.putArray("parts");
    for (ShardReport p : b.shards) {
      ObjectNode o = ps.addObject();
      o.put("part", p.shard.value()).put("epoch", p.epoch.value()).put("fenced", p.fenced.value());
      o.put("queued", p.queued);
      o.put("expected", p.hearing.expected).put("unheard", p.hearing.unheard);
      ArrayNode unresponsive = o.putArray("deafTo");
      p.hearing.unreachableZones.forEach(unresponsive::add);
      ArrayNode ws = o.putArray("wants");
      for (CapacityRequest w : p.capacityRequests) {
        offer(ws.addObject(), w.offer).put("count", w.count);
      }
      names(o.putArray("retire"), p.retire);
      names(o.putArray("spare"), p.spare);
      writeMoves(o, p);
    }
    ArrayNode seen = n.putArray("seen");
    b.seen.forEach(h -> host(seen.addObject(), h));
    ArrayNode misroutedWorkers = n.putArray("strays");
    b.misroutedWorkers.forEach((p, count) -> misroutedWorkers.addArray().add(p.value()).add(count));
    if (b.announcement != null) {
      n.set(RolloutMessages.HEARTBEAT_FIELD, RolloutMessages.write(b.announcement));
    }
    return n;
  }

  /**
   * The fields about moves; those that not every version knows stand only where they say something.
   */
  private static void writeMoves(ObjectNode o, ShardReport p) {
    ArrayNode back = o.putArray("back");
    p.handovers.forEach(h -> back.add(h.machine.value()));
    if (p.repeatsMoves) {
      ArrayNode moves = o.putArray(MOVES);
      p.handovers.forEach(h -> moves.add(h.move.value()));
    }
    if (!p.misplaced.isEmpty()) {
      names(o.putArray(MISPLACED), p.misplaced);
    }
    if (p.demand != null) {
      o.set(DEMAND, ShareMessages.write(p.demand));
    }
  }

  private static List<MachineHandover> handovers(JsonNode p) {
    List<MachineName> machines = names(p.path("back"));
    JsonNode moves = p.path(MOVES);
    if (moves.isArray() && moves.size() != machines.size()) {
      throw new Malformed(MOVES);
    }
    List<MachineHandover> all = new ArrayList<>();
    for (int i = 0; i < machines.size(); i++) {
      long move = moves.isArray() ? Json.count(moves.path(i)) : 0;
      all.add(new MachineHandover(machines.get(i), new MoveId(Math.max(0, move))));
    }
    return all;
  }

  /** A message holds something that no version sends. */
  private static final class Malformed extends RuntimeException {
    private static final long serialVersionUID = 1L;

    Malformed(String message) {
      super(message, null, false, false);
    }
  }

  /** Null if malformed. */
  public static Heartbeat readHeartbeat(JsonNode n) {
    try {
      return heartbeat(n);
    } catch (Malformed e) {
      return null;
    }
  }

  private static Heartbeat heartbeat(JsonNode n) {
    String from = Json.text(n.path("from"));
    String writer = Json.text(n.path("writer"));
    if (from.isEmpty() || writer.isEmpty()) {
      return null;
    }
    List<ShardReport> shards = new ArrayList<>();
    for (JsonNode p : n.path("parts")) {
      List<CapacityRequest> capacityRequests = new ArrayList<>();
      p.path("wants")
          .forEach(
              w ->
                  capacityRequests.add(
                      new CapacityRequest(offer(w), (int) count(w, "count", MAX_COUNT))));
      List<String> unreachableZones = new ArrayList<>();
      p.path("deafTo").forEach(z -> unreachableZones.add(z.asText()));
      shards.add(
          new ShardReport(
              shard(p),
              epoch(p, "epoch"),
              // What a record held that refused the owner, whatever it was.
              new Epoch(count(p, "fenced", Long.MAX_VALUE)),
              p.path("queued").asBoolean(),
              new WorkerReachability(
                  (int) count(p, "expected", MAX_COUNT),
                  (int) count(p, "unheard", MAX_COUNT),
                  unreachableZones),
              capacityRequests,
              names(p.path("retire")),
              names(p.path("spare")),
              handovers(p),
              names(p.path(MISPLACED)),
              p.path(MOVES).isArray(),
              ShareMessages.readDemand(p.path(DEMAND))));
    }
    List<MachineInfo> seen = new ArrayList<>();
    n.path("seen").forEach(h -> seen.add(host(h)));
    Map<ShardId, Integer> misroutedWorkers = new HashMap<>();
    n.path("strays")
        .forEach(
            s ->
                misroutedWorkers.put(
                    new ShardId(s.path(0).asInt()), Math.max(0, s.path(1).asInt())));
    return new Heartbeat(
        new ControllerName(from),
        new WriterId(writer),
        n.path("stateOk").asBoolean(),
        n.path("ver").asLong(-1),
        shards,
        seen,
        misroutedWorkers,
        RolloutMessages.readAnnouncement(n.path(RolloutMessages.HEARTBEAT_FIELD)));
  }

  public static ObjectNode write(HeartbeatAnswer a) {
    ObjectNode n = Json.object();
    n.put("term", a.term).put("othersOk", a.othersStateOk).put("ver", a.assignmentVersion);
    ArrayNode ls = n.putArray("leases");
    for (Lease l : a.leases) {
      ls.addObject()
          .put("part", l.shard.value())
          .put("epoch", l.epoch.value())
          .put("ttlMs", l.ttlMs);
    }
    owners(n.putArray("owners"), a.owners);
    n.put("whole", a.whole);
    ArrayNode hs = n.putArray("lent");
    for (MachineAssignment l : a.assigned) {
      ObjectNode o = host(hs.addObject(), l.host);
      o.put("part", l.shard.value()).put("age", l.ageMs).put("recall", l.handoverRequested);
      if (l.term.value() > 0) {
        o.put(TERM, l.term.value());
      }
      if (l.move.isSet()) {
        o.put(MOVE, l.move.value());
      }
    }
    names(n.putArray("off"), a.unassigned);
    names(n.putArray("gone"), a.gone);
    ArrayNode bs = n.putArray("blocked");
    for (UnavailableOffer b : a.blocked) {
      offer(bs.addObject(), b.offer).put("ms", b.forMs);
    }
    if (a.rollout != null) {
      n.set(RolloutMessages.HEARTBEAT_FIELD, RolloutMessages.write(a.rollout));
    }
    return n;
  }

  /** Null if malformed. */
  public static HeartbeatAnswer readAnswer(JsonNode n) {
    try {
      return answer(n);
    } catch (Malformed e) {
      return null;
    }
  }

  private static HeartbeatAnswer answer(JsonNode n) {
    long term = count(n, "term", Long.MAX_VALUE);
    List<Lease> leases = new ArrayList<>();
    for (JsonNode l : n.path("leases")) {
      leases.add(new Lease(shard(l), epoch(l, "epoch"), count(l, "ttlMs", MAX_LEASE_MS)));
    }
    List<MachineAssignment> assigned = new ArrayList<>();
    for (JsonNode h : n.path("lent")) {
      assigned.add(
          new MachineAssignment(
              host(h),
              shard(h),
              h.path("age").asLong(),
              new Epoch(Math.max(0, Json.count(h.path(TERM)))),
              h.path("recall").asBoolean(),
              new MoveId(Math.max(0, Json.count(h.path(MOVE))))));
    }
    List<UnavailableOffer> blocked = new ArrayList<>();
    n.path("blocked")
        .forEach(b -> blocked.add(new UnavailableOffer(offer(b), b.path("ms").asLong())));
    return new HeartbeatAnswer(
        term,
        n.path("othersOk").asBoolean(),
        leases,
        owners(n.path("owners")),
        n.path("ver").asLong(),
        n.path("whole").asBoolean(),
        assigned,
        names(n.path("off")),
        names(n.path("gone")),
        blocked,
        RolloutMessages.readNotice(n.path(RolloutMessages.HEARTBEAT_FIELD)));
  }

  /**
   * All cancellations that a controller has confirmed to users in the last {@code spanMs}, and the
   * shard owners it knows of.
   */
  public record ConfirmedCancellations(long spanMs, List<JobId> ids, List<OwnerInfo> owners) {}

  /** Asks for what the other has confirmed lately, and no more jobs than {@code most}. */
  public static ObjectNode confirmedWithin(long ms, int most) {
    ObjectNode n = Json.object().put("withinMs", ms);
    return most > DEFAULT_CONFIRMED ? n.put("most", most) : n;
  }

  /** How many jobs the asker takes in one answer. */
  public static int readConfirmedMost(JsonNode n) {
    return (int) Math.max(DEFAULT_CONFIRMED, Math.min(MAX_COUNT, Json.count(n.path("most"))));
  }

  /** Negative if malformed. */
  public static long readConfirmedWithin(JsonNode n) {
    return Json.count(n.path("withinMs"));
  }

  public static ObjectNode write(ConfirmedCancellations c) {
    ObjectNode n = Json.object().put("spanMs", c.spanMs);
    ArrayNode a = n.putArray("ids");
    c.ids.forEach(id -> a.add(id.value()));
    owners(n.putArray("owners"), c.owners);
    return n;
  }

  /** Null if malformed, or with more jobs than were asked for. */
  public static ConfirmedCancellations readConfirmed(JsonNode n, int most) {
    long span = Json.count(n.path("spanMs"));
    if (span < 0 || !n.path("ids").isArray() || n.path("ids").size() > most) {
      return null;
    }
    List<JobId> l = new ArrayList<>();
    for (JsonNode id : n.path("ids")) {
      if (!id.isTextual() || !JobSpec.idOk(id.textValue())) {
        return null;
      }
      l.add(new JobId(id.textValue()));
    }
    try {
      return new ConfirmedCancellations(span, l, owners(n.path("owners")));
    } catch (Malformed e) {
      return null;
    }
  }

  /** A user's request as it came. */
  public static ObjectNode relay(String method, String path, byte[] body) {
    ObjectNode n = Json.object().put("method", method).put("path", path);
    n.set("body", Json.parse(body));
    return n;
  }

  public static String relayedMethod(JsonNode n) {
    return Json.text(n.path("method"));
  }

  public static String relayedPath(JsonNode n) {
    return Json.text(n.path("path"));
  }

  public static byte[] relayedBody(JsonNode n) {
    return Json.bytes(n.path("body"));
  }

  /** Asks a part's owner where jobs stand now. */
  public static ObjectNode ask(ShardId shard, Collection<JobId> ids) {
    ObjectNode n = Json.object().put("part", shard.value());
    ArrayNode a = n.putArray("ids");
    ids.forEach(id -> a.add(id.value()));
    return n;
  }

  public static ShardId askedPart(JsonNode n) {
    return new ShardId(n.path("part").asInt(-1));
  }

  public static List<JobId> asked(JsonNode n) {
    List<JobId> l = new ArrayList<>();
    for (JsonNode id : n.path("ids")) {
      if (l.size() < MAX_ASKED && id.isTextual()) {
        l.add(new JobId(id.textValue()));
      }
    }
    return l;
  }

  /** Only what was found current in the store while the question was open. */
  public static ObjectNode told(Map<JobId, JobStatus> standings) {
    ObjectNode n = Json.object();
    ArrayNode a = n.putArray("told");
    standings.forEach(
        (id, s) ->
            a.addObject()
                .put("id", id.value())
                .put("phase", s.phase().wire)
                .put("done", s.done())
                .put("running", s.running()));
    return n;
  }

  public static Map<JobId, JobStatus> told(JsonNode n) {
    Map<JobId, JobStatus> m = new HashMap<>();
    for (JsonNode t : n.path("told")) {
      JobState p = JobState.of(t.path("phase").asText());
      if (p != null) {
        m.put(
            new JobId(t.path("id").asText()),
            new JobStatus(p, t.path("done").asInt(), t.path("running").asInt()));
      }
    }
    return m;
  }

  private static void owners(ArrayNode a, Collection<OwnerInfo> owners) {
    for (OwnerInfo o : owners) {
      a.addObject()
          .put("part", o.shard.value())
          .put("label", o.label.value())
          .put("epoch", o.epoch.value());
    }
  }

  private static List<OwnerInfo> owners(JsonNode a) {
    List<OwnerInfo> owners = new ArrayList<>();
    for (JsonNode o : a) {
      owners.add(
          new OwnerInfo(shard(o), new ControllerName(name(o.path("label"))), epoch(o, "epoch")));
    }
    return owners;
  }

  private static ObjectNode host(ObjectNode o, MachineInfo h) {
    return o.put("h", h.name.value()).put("type", h.type).put("zone", h.zone).put("spot", h.spot);
  }

  private static MachineInfo host(JsonNode n) {
    return new MachineInfo(
        new MachineName(name(n.path("h"))),
        Json.text(n.path("type")),
        Json.text(n.path("zone")),
        n.path("spot").asBoolean());
  }

  private static ObjectNode offer(ObjectNode o, Offer f) {
    return o.put("type", f.type()).put("zone", f.zone()).put("spot", f.spot());
  }

  private static Offer offer(JsonNode n) {
    return new Offer(
        Json.text(n.path("type")), Json.text(n.path("zone")), n.path("spot").asBoolean());
  }

  private static void names(ArrayNode a, Collection<MachineName> l) {
    l.forEach(h -> a.add(h.value()));
  }

  private static List<MachineName> names(JsonNode a) {
    List<MachineName> l = new ArrayList<>();
    a.forEach(h -> l.add(new MachineName(name(h))));
    return l;
  }

  private static ShardId shard(JsonNode n) {
    return new ShardId((int) count(n, "part", MAX_PARTS));
  }

  private static Epoch epoch(JsonNode n, String field) {
    return new Epoch(count(n, field, FencingToken.MAX_EPOCH));
  }

  private static long count(JsonNode n, String field, long most) {
    long x = Json.count(n.path(field));
    if (x < 0 || x > most) {
      throw new Malformed(field);
    }
    return x;
  }

  private static String name(JsonNode n) {
    String text = Json.text(n);
    if (text.isEmpty()) {
      throw new Malformed("name");
    }
    return text;
  }
}
