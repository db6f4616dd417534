package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import shorecrank.protocol.Json;
import shorecrank.storage.JobRecord;

/** Outages of the regional services, slow and late writes, and strangers' changes of keys. */
final class ServiceFaults {
  static final Map<String, Action.Reader> ACTIONS =
      Map.of(
          "outage", ServiceFaults::outage,
          "slow-state", ServiceFaults::slow,
          "late-writes", ServiceFaults::lateWrites,
          "lower-limits", ServiceFaults::lowerLimits,
          "write-key", ServiceFaults::writeKey,
          "foreign-write", ServiceFaults::foreignWrite,
          "remove-record", ServiceFaults::removeRecord);

  private ServiceFaults() {}

  /** {@code outage state|cloud SECONDS}: every request is answered with 503. */
  private static Action outage(ScenarioLine line) {
    long durationMs = line.milliseconds(2);
    Action begin =
        switch (line.word(1)) {
          case "state" -> world -> world.store.beginOutage(durationMs);
          case "cloud" -> world -> world.cloud.beginOutage(durationMs);
          default -> throw line.error("an outage is of state or cloud");
        };
    return world -> {
      world.faults.addFault(durationMs);
      begin.run(world);
    };
  }

  /** {@code slow-state FACTOR SECONDS}: the state service answers that much slower. */
  private static Action slow(ScenarioLine line) {
    double factor = line.decimal(1);
    long durationMs = line.milliseconds(2);
    return world -> world.network.stateService().slowDown(factor, durationMs);
  }

  /**
   * {@code late-writes SHARE SECONDS [at-once]}: a share of transactions gets no answer, and is
   * carried out late or at once.
   */
  private static Action lateWrites(ScenarioLine line) {
    double share = line.decimal(1);
    long durationMs = line.milliseconds(2);
    boolean atOnce = line.has(3);
    if (atOnce && !line.word(3).equals("at-once")) {
      throw line.error("late writes are late or at-once");
    }
    return world -> world.network.stateService().loseAnswers(share, durationMs, atOnce);
  }

  /** {@code lower-limits}: those that were planned hold from now on. */
  private static Action lowerLimits(ScenarioLine line) {
    return world -> world.store.setLimits(world.site.nextLimits().orElseThrow());
  }

  /** {@code write-key KEY JSON}: a stranger writes a key. */
  private static Action writeKey(ScenarioLine line) {
    String key = line.word(1);
    JsonNode value = Json.parse(line.textFrom(2).getBytes(StandardCharsets.UTF_8));
    if (value.isMissingNode()) {
      throw line.error("the value is no JSON");
    }
    return world -> world.store.overwrite(key, value);
  }

  /** {@code foreign-write JOB BY}: a stranger writes the record, at an epoch higher by so much. */
  private static Action foreignWrite(ScenarioLine line) {
    String key = JobRecord.LIVE_PREFIX + line.word(1);
    long by = line.longInteger(2);
    return world -> {
      ObjectNode record = world.store.peek(key).deepCopy();
      record.put("e", record.path("e").asLong() + by).put("w", "stranger");
      world.store.overwrite(key, record);
    };
  }

  /** {@code remove-record JOB}: a stranger removes the record. */
  private static Action removeRecord(ScenarioLine line) {
    String key = JobRecord.LIVE_PREFIX + line.word(1);
    return world -> world.store.overwrite(key, null);
  }
}
