package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.RolloutMessages.Announcement;
import shorecrank.protocol.RolloutMessages.FeatureLevel;
import shorecrank.protocol.RolloutMessages.LevelRange;
import shorecrank.protocol.RolloutMessages.OrderOutcome;
import shorecrank.protocol.RolloutMessages.RolloutMember;
import shorecrank.protocol.RolloutMessages.RolloutNotice;
import shorecrank.protocol.RolloutMessages.RolloutPhase;
import shorecrank.protocol.RolloutMessages.RolloutState;
import shorecrank.protocol.RolloutMessages.RolloutStatus;

/**
 * Encodes and decodes the stored state of the feature level, the parts of heartbeats and their
 * answers that concern it, and the status for operators, as JSON.
 */
public final class RolloutCodec {
  /** Field that holds the announcement in a heartbeat, and the notice in an answer. */
  static final String HEARTBEAT_FIELD = "rollout";

  private static final String FORMAT = "v";
  private static final String PHASE = "phase";
  private static final String LEVEL = "level";
  private static final String TARGET = "target";
  private static final String CURSOR = "cursor";
  private static final String ARCHIVE = "archive";
  private static final String AUTO_RAISE_SUSPENDED = "held";
  private static final String OUTCOMES = "orders";

  private static final String REVISION = "revision";

  private static final String BUILD = "build";
  private static final String LOWEST = "lowest";
  private static final String HIGHEST = "highest";
  private static final String SETTINGS_DIGEST = "digest";

  private static final String WRITE_LEVEL = "writeLevel";
  private static final String AUTOMATIC = "automatic";
  private static final String ARCHIVE_UNDER_WAY = "archiveUnderWay";
  private static final String MEMBERS = "members";
  private static final String LABEL = "label";
  private static final String MS_SINCE_HEARTBEAT = "heardMsAgo";
  private static final String SETTINGS_DIFFER = "settingsDiffer";
  private static final String WAITING_FOR = "waitingFor";
  private static final String REWRITTEN = "rewritten";
  private static final String UNREADABLE = "unreadable";

  /** Version of the stored value's format; values of other versions are not read. */
  private static final long FORMAT_VERSION = 1;

  private static final int MAX_LEVEL = 1_000_000;
  private static final int MAX_OUTCOMES = 64;

  private RolloutCodec() {}

  /** Writes the value of the feature level's key as JSON. */
  public static ObjectNode writeState(RolloutState state) {
    ObjectNode value = Json.object();
    value.put(FORMAT, FORMAT_VERSION).put(PHASE, wireName(state.phase()));
    value.put(LEVEL, state.level().value()).put(TARGET, state.target().value());
    value
        .put(CURSOR, state.cursor())
        .put(ARCHIVE, state.archive())
        .put(AUTO_RAISE_SUSPENDED, state.autoRaiseSuspended());
    ArrayNode outcomes = value.putArray(OUTCOMES);
    state.recentOrders().forEach(outcome -> outcomes.add(RolloutOrderCodec.writeOutcome(outcome)));
    return value;
  }

  /**
   * Reads the value of the feature level's key.
   *
   * @return the state, or empty if the value has another format or holds what no version writes
   */
  public static Optional<RolloutState> readState(JsonNode value) {
    try {
      return Optional.of(readCheckedState(value));
    } catch (MalformedMessageException malformed) {
      return Optional.empty();
    }
  }

  private static RolloutState readCheckedState(JsonNode value) throws MalformedMessageException {
    RolloutPhase phase = readPhase(value.path(PHASE));
    FeatureLevel level = readLevel(value.path(LEVEL), LEVEL);
    FeatureLevel target = readLevel(value.path(TARGET), TARGET);
    if (Json.countOrMinusOne(value.path(FORMAT)) != FORMAT_VERSION) {
      throw new MalformedMessageException(FORMAT, "must be " + FORMAT_VERSION);
    }
    boolean isConsistent =
        switch (phase) {
          case STABLE -> target.equals(level);
          case RAISING -> target.compareTo(level) > 0;
          case FALLING -> target.compareTo(level) < 0;
        };
    if (!isConsistent) {
      throw new MalformedMessageException(TARGET, "must fit the phase");
    }
    JsonNode array = value.path(OUTCOMES);
    if (!array.isArray()) {
      throw new MalformedMessageException(OUTCOMES, "must be a list");
    }
    List<OrderOutcome> outcomes = new ArrayList<>();
    for (JsonNode outcome : Fields.readList(array, OUTCOMES, MAX_OUTCOMES)) {
      outcomes.add(RolloutOrderCodec.readOutcome(outcome));
    }
    return new RolloutState(
        phase,
        level,
        target,
        Json.text(value.path(CURSOR)),
        Json.text(value.path(ARCHIVE)),
        value.path(AUTO_RAISE_SUSPENDED).asBoolean(),
        List.copyOf(outcomes));
  }

  private static String wireName(RolloutPhase phase) {
    return phase.name().toLowerCase(Locale.ROOT);
  }

  private static RolloutPhase readPhase(JsonNode value) throws MalformedMessageException {
    for (RolloutPhase phase : RolloutPhase.values()) {
      if (wireName(phase).equals(Json.text(value))) {
        return phase;
      }
    }
    throw new MalformedMessageException(PHASE, "must name a known phase");
  }

  /** Reads a feature level from 0 to {@link #MAX_LEVEL}. */
  static FeatureLevel readLevel(JsonNode value, String field) throws MalformedMessageException {
    return new FeatureLevel((int) Fields.readCount(value, field, MAX_LEVEL));
  }

  /** Writes an announcement as JSON. */
  static ObjectNode writeAnnouncement(Announcement announcement) {
    return Json.object()
        .put(BUILD, announcement.build())
        .put(LOWEST, announcement.supported().lowest().value())
        .put(HIGHEST, announcement.supported().highest().value())
        .put(SETTINGS_DIGEST, announcement.settingsDigest());
  }

  /**
   * Reads an announcement.
   *
   * @return the announcement, or empty if there is none or it is malformed; the sender then counts
   *     as one that supports only the lowest level
   */
  static Optional<Announcement> readAnnouncement(JsonNode message) {
    try {
      return Optional.of(readCheckedAnnouncement(message));
    } catch (MalformedMessageException malformed) {
      return Optional.empty();
    }
  }

  private static Announcement readCheckedAnnouncement(JsonNode message)
      throws MalformedMessageException {
    FeatureLevel lowest = readLevel(message.path(LOWEST), LOWEST);
    FeatureLevel highest = readLevel(message.path(HIGHEST), HIGHEST);
    if (!highest.includes(lowest)) {
      throw new MalformedMessageException(HIGHEST, "must not be below " + LOWEST);
    }
    return new Announcement(
        readBoundedText(message, BUILD),
        new LevelRange(lowest, highest),
        readBoundedText(message, SETTINGS_DIGEST));
  }

  private static String readBoundedText(JsonNode message, String field)
      throws MalformedMessageException {
    String text = Json.text(message.path(field));
    if (text.length() > Fields.MAX_TEXT) {
      throw new MalformedMessageException(
          field, "must have at most " + Fields.MAX_TEXT + " characters");
    }
    return text;
  }

  /** Writes a notice as JSON. */
  static ObjectNode writeNotice(RolloutNotice notice) {
    return writeState(notice.state()).put(REVISION, notice.revision().value());
  }

  /** Reads a notice; empty if there is none or it is malformed. */
  static Optional<RolloutNotice> readNotice(JsonNode message) {
    try {
      RolloutState state = readCheckedState(message);
      long revision = Fields.readCount(message.path(REVISION), REVISION);
      return Optional.of(new RolloutNotice(state, new Revision(revision)));
    } catch (MalformedMessageException malformed) {
      return Optional.empty();
    }
  }

  /** Writes the status for operators as JSON. */
  public static ObjectNode writeStatus(RolloutStatus status) {
    RolloutState state = status.state();
    ObjectNode message = writeState(state);
    message.put(WRITE_LEVEL, state.writeLevel().value()).put(AUTOMATIC, status.automatic());
    message.put(ARCHIVE_UNDER_WAY, status.archiveUnderWay());
    ArrayNode members = message.putArray(MEMBERS);
    for (RolloutMember member : status.members()) {
      ObjectNode object = members.addObject().put(LABEL, member.label());
      if (member.announcement() != null) {
        object.setAll(writeAnnouncement(member.announcement()));
      }
      object.put(MS_SINCE_HEARTBEAT, member.msSinceHeartbeat());
      object.put(SETTINGS_DIFFER, member.settingsDiffer());
    }
    ArrayNode waiting = message.putArray(WAITING_FOR);
    status.waitingFor().forEach(waiting::add);
    return message.put(REWRITTEN, status.rewritten()).put(UNREADABLE, status.unreadable());
  }
}
