package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import shorecrank.protocol.Ids.Revision;

/** Feature levels on the wire and in the state service: announcements, the level's key, orders. */
public final class RolloutMessages {
  private RolloutMessages() {}

  /** The key that holds the {@link RolloutState}. */
  public static final String KEY = "rollout";

  /** Paths on the peer address, for the command-line client and between controllers. */
  public static final String STATUS = "/rollout/status";

  public static final String ORDERS = "/rollout/orders";

  /** Reads keys of the state service, page by page. */
  public static final String KEYS = "/rollout/keys";

  /** The field of heartbeats that holds an {@link Announcement}, and of answers a notice. */
  static final String HEARTBEAT_FIELD = "rollout";

  /** The form of the level's key; another one is not read. */
  private static final long FORMAT = 1;

  private static final String FORWARDED = "forwarded";
  private static final String PREFIX = "prefix";
  private static final String AFTER = "after";
  private static final int MAX_LEVEL = 1_000_000;
  private static final int MAX_TEXT = 300;
  private static final int MAX_ORDERS = 64;

  /** A step in the sequence of forms and behaviours; what a fleet may use rises and falls by it. */
  public record FeatureLevel(int value) implements Comparable<FeatureLevel> {
    /** Of all versions from before levels existed. */
    public static final FeatureLevel LOWEST = new FeatureLevel(0);

    /** Whether this level is at least the other. */
    public boolean includes(FeatureLevel other) {
      return value >= other.value;
    }

    @Override
    public int compareTo(FeatureLevel other) {
      return Integer.compare(value, other.value);
    }

    @Override
    public String toString() {
      return Integer.toString(value);
    }
  }

  /** The levels that a version can work at. */
  public record LevelRange(FeatureLevel lowest, FeatureLevel highest) {
    /** Of versions that announce nothing. */
    public static final LevelRange UNANNOUNCED =
        new LevelRange(FeatureLevel.LOWEST, FeatureLevel.LOWEST);

    /** Whether a version with this range can work at the level. */
    public boolean supports(FeatureLevel level) {
      return level.includes(lowest) && highest.includes(level);
    }

    @Override
    public String toString() {
      return lowest + "-" + highest;
    }
  }

  /** What a controller says of itself in its heartbeat. */
  public record Announcement(String build, LevelRange supported, String settingsDigest) {}

  /** Whether the level in force is to stay, to rise, or to fall. */
  public enum Phase {
    STABLE,
    RAISING,
    FALLING;

    String wire() {
      return name().toLowerCase(Locale.ROOT);
    }

    static Phase of(String wire) {
      for (Phase phase : values()) {
        if (phase.wire().equals(wire)) {
          return phase;
        }
      }
      return null;
    }
  }

  /** What operators may ask for. */
  public enum OrderKind {
    FINALIZE,
    DOWNGRADE,
    ABORT,
    ARCHIVE;

    /** The order's name on the wire and on the command line. */
    public String wire() {
      return name().toLowerCase(Locale.ROOT);
    }

    static OrderKind of(String wire) {
      for (OrderKind kind : values()) {
        if (kind.wire().equals(wire)) {
          return kind;
        }
      }
      return null;
    }
  }

  /**
   * An operator's order. One {@code id} is carried out once, however often and wherever it is sent.
   *
   * @param target the level asked for; negative if the order names none
   */
  public record Order(String id, OrderKind kind, int target) {}

  /**
   * What became of an order.
   *
   * @param archive the archive that the order is about; empty if none
   */
  public record OrderOutcome(
      String id, OrderKind kind, boolean accepted, String text, String archive) {}

  /**
   * The level's key.
   *
   * @param level what is in force: every owner must support it, since its forms may be stored
   * @param target where a rise or fall leads; the level itself when stable
   * @param cursor while falling, the last key that was looked at; empty before the first
   * @param archive the newest complete archive of the keys; empty if there is none
   * @param held whether an operator has lowered the level or stopped a rise: it then rises by an
   *     operator's word only
   * @param recentOrders outcomes of the latest orders, the oldest first
   */
  public record RolloutState(
      Phase phase,
      FeatureLevel level,
      FeatureLevel target,
      String cursor,
      String archive,
      boolean held,
      List<OrderOutcome> recentOrders) {

    /** Of a store that has never held the key. */
    public static final RolloutState INITIAL =
        new RolloutState(
            Phase.STABLE, FeatureLevel.LOWEST, FeatureLevel.LOWEST, "", "", false, List.of());

    /** The highest level whose forms may be written. */
    public FeatureLevel writeLevel() {
      return phase == Phase.FALLING ? target : level;
    }

    /** The same with another phase. */
    public RolloutState toward(Phase next, FeatureLevel goal) {
      return new RolloutState(next, level, goal, "", archive, held, recentOrders);
    }

    /** Stable at a level. */
    public RolloutState settled(FeatureLevel at) {
      return new RolloutState(Phase.STABLE, at, at, "", archive, held, recentOrders);
    }

    /** The same with another cursor. */
    public RolloutState scannedTo(String key) {
      return new RolloutState(phase, level, target, key, archive, held, recentOrders);
    }

    /** The same with another archive. */
    public RolloutState archivedAs(String id) {
      return new RolloutState(phase, level, target, cursor, id, held, recentOrders);
    }

    /** The same, to rise by itself or not. */
    public RolloutState heldBack(boolean hold) {
      return new RolloutState(phase, level, target, cursor, archive, hold, recentOrders);
    }

    /** The same with one more outcome, of which the latest {@code most} are kept. */
    public RolloutState with(OrderOutcome outcome, int most) {
      List<OrderOutcome> all = new ArrayList<>(recentOrders);
      all.add(outcome);
      List<OrderOutcome> latest = all.subList(Math.max(0, all.size() - most), all.size());
      return new RolloutState(phase, level, target, cursor, archive, held, List.copyOf(latest));
    }
  }

  /** The level's key as the leader tells it to the others. */
  public record Notice(RolloutState state, Revision revision) {}

  /** The key's value. */
  public static ObjectNode write(RolloutState s) {
    ObjectNode n = Json.object().put("v", FORMAT).put("phase", s.phase.wire());
    n.put("level", s.level.value).put("target", s.target.value);
    n.put("cursor", s.cursor).put("archive", s.archive).put("held", s.held);
    ArrayNode orders = n.putArray("orders");
    s.recentOrders.forEach(o -> orders.add(write(o)));
    return n;
  }

  /** Null if the value is not of this form, or holds what no version writes. */
  public static RolloutState readState(JsonNode n) {
    Phase phase = Phase.of(Json.text(n.path("phase")));
    FeatureLevel level = level(n.path("level"));
    FeatureLevel target = level(n.path("target"));
    if (Json.count(n.path("v")) != FORMAT || phase == null || level == null || target == null) {
      return null;
    }
    boolean consistent =
        switch (phase) {
          case STABLE -> target.equals(level);
          case RAISING -> target.compareTo(level) > 0;
          case FALLING -> target.compareTo(level) < 0;
        };
    JsonNode orders = n.path("orders");
    if (!consistent || !orders.isArray() || orders.size() > MAX_ORDERS) {
      return null;
    }
    List<OrderOutcome> outcomes = new ArrayList<>();
    for (JsonNode o : orders) {
      OrderOutcome outcome = readOutcome(o);
      if (outcome == null) {
        return null;
      }
      outcomes.add(outcome);
    }
    return new RolloutState(
        phase,
        level,
        target,
        Json.text(n.path("cursor")),
        Json.text(n.path("archive")),
        n.path("held").asBoolean(),
        List.copyOf(outcomes));
  }

  private static FeatureLevel level(JsonNode n) {
    long value = Json.count(n);
    return value < 0 || value > MAX_LEVEL ? null : new FeatureLevel((int) value);
  }

  /** An order's outcome, as the client gets it. */
  public static ObjectNode write(OrderOutcome o) {
    return Json.object()
        .put("id", o.id)
        .put("order", o.kind.wire())
        .put("accepted", o.accepted)
        .put("text", o.text)
        .put("archive", o.archive);
  }

  /** Null if malformed. */
  public static OrderOutcome readOutcome(JsonNode n) {
    OrderKind kind = OrderKind.of(Json.text(n.path("order")));
    String id = Json.text(n.path("id"));
    if (kind == null || !orderIdOk(id) || !n.path("accepted").isBoolean()) {
      return null;
    }
    return new OrderOutcome(
        id,
        kind,
        n.path("accepted").booleanValue(),
        Json.text(n.path("text")),
        Json.text(n.path("archive")));
  }

  /** An order as the client sends it. */
  public static ObjectNode write(Order o) {
    ObjectNode n = Json.object().put("id", o.id).put("order", o.kind.wire());
    return o.target < 0 ? n : n.put("level", o.target);
  }

  /** Null if malformed. */
  public static Order readOrder(JsonNode n) {
    OrderKind kind = OrderKind.of(Json.text(n.path("order")));
    String id = Json.text(n.path("id"));
    FeatureLevel target = n.has("level") ? level(n.path("level")) : null;
    if (kind == null || !orderIdOk(id) || (n.has("level") && target == null)) {
      return null;
    }
    return new Order(id, kind, target == null ? -1 : target.value);
  }

  private static boolean orderIdOk(String id) {
    return !id.isEmpty() && id.length() <= MAX_TEXT;
  }

  static ObjectNode write(Announcement a) {
    return Json.object()
        .put("build", a.build)
        .put("lowest", a.supported.lowest.value)
        .put("highest", a.supported.highest.value)
        .put("digest", a.settingsDigest);
  }

  /** Null if there is none or it is malformed: the sender then counts as of the lowest level. */
  static Announcement readAnnouncement(JsonNode n) {
    FeatureLevel lowest = level(n.path("lowest"));
    FeatureLevel highest = level(n.path("highest"));
    String build = Json.text(n.path("build"));
    if (lowest == null || highest == null || !highest.includes(lowest)) {
      return null;
    }
    if (build.length() > MAX_TEXT || Json.text(n.path("digest")).length() > MAX_TEXT) {
      return null;
    }
    return new Announcement(build, new LevelRange(lowest, highest), Json.text(n.path("digest")));
  }

  static ObjectNode write(Notice notice) {
    return write(notice.state).put("revision", notice.revision.value());
  }

  /** Null if there is none or it is malformed. */
  static Notice readNotice(JsonNode n) {
    RolloutState state = readState(n);
    long revision = Json.count(n.path("revision"));
    return state == null || revision < 0 ? null : new Notice(state, new Revision(revision));
  }

  /** A member of the configuration, as the leader sees it. */
  public record Member(
      String label, Announcement announcement, long heardMsAgo, boolean settingsDiffer) {}

  /** All that an operator is told of a rollout. */
  public record Status(
      RolloutState state,
      boolean automatic,
      List<Member> members,
      List<String> waitingFor,
      String archiveUnderWay,
      long rewritten,
      long unreadable) {}

  /** The status as JSON. */
  public static ObjectNode write(Status s) {
    ObjectNode n = write(s.state);
    n.put("writeLevel", s.state.writeLevel().value).put("automatic", s.automatic);
    n.put("archiveUnderWay", s.archiveUnderWay);
    ArrayNode members = n.putArray("members");
    for (Member m : s.members) {
      ObjectNode o = members.addObject().put("label", m.label);
      if (m.announcement != null) {
        o.setAll(write(m.announcement));
      }
      o.put("heardMsAgo", m.heardMsAgo).put("settingsDiffer", m.settingsDiffer);
    }
    ArrayNode waiting = n.putArray("waitingFor");
    s.waitingFor.forEach(waiting::add);
    return n.put("rewritten", s.rewritten).put("unreadable", s.unreadable);
  }

  /** Marks a request that one controller passes on to the leader. */
  public static ObjectNode forwarded(JsonNode request) {
    ObjectNode n = request.isObject() ? ((ObjectNode) request).deepCopy() : Json.object();
    return n.put(FORWARDED, true);
  }

  /** Whether another controller passed the request on. */
  public static boolean isForwarded(JsonNode request) {
    return request.path(FORWARDED).asBoolean(false);
  }

  /** Asks for the keys that begin with {@code prefix}, behind {@code after}. */
  public static ObjectNode keys(String prefix, String after) {
    return Json.object().put(PREFIX, prefix).put(AFTER, after);
  }

  /** The prefix asked for. */
  public static String keysPrefix(JsonNode request) {
    return Json.text(request.path(PREFIX));
  }

  /** The key behind which the page begins; empty for the first. */
  public static String keysAfter(JsonNode request) {
    return Json.text(request.path(AFTER));
  }

  /** The answer when nobody can tell; the reason is one line. */
  public static ObjectNode unknown(String reason) {
    return Json.object().put("unknown", true).put("reason", reason);
  }
}
