package shorecrank.config;

import com.google.protobuf.Message;
import java.util.EnumMap;
import java.util.Map;
import java.util.stream.Stream;
import shorecrank.config.TextProto.Field;

/** Reads the operators' settings in protobuf text format. */
public final class SettingsFile {
  private SettingsFile() {}

  /** Every setting with its range and default. */
  public enum Setting {
    PARTS("parts", 1, 64, 1),
    LEASE_MS("lease_ms", 1000, 60_000, 5000),
    RENEW_MS("renew_ms", 100, 30_000, 1000),
    LEADER_TTL_MS("leader_ttl_ms", 1000, 60_000, 5000),
    GRACE_MS("grace_ms", 0, 600_000, 60_000),
    STATE_FRESH_MS("state_fresh_ms", 500, 60_000, 3000),
    SAMPLE_SIZE("sample_size", 1, 10_000, 32),
    ROUND_MS("round_ms", 5, 5000, 50),
    ROUND_BUDGET_MS("round_budget_ms", 1, 5000, 15),
    MERGE_MS("merge_ms", 0, 2000, 800),
    PARK_MS("park_ms", 0, 2000, 250),
    IDLE_RETURN_S("idle_return_s", 1, 86_400, 15),
    CLEAR_S("clear_s", 1, 86_400, 30);

    private final Field field;

    Setting(String name, double min, double max, double unset) {
      this.field = Field.number(name, min, max, unset);
    }
  }

  /** What holds where nothing is set. */
  public static Settings defaults() {
    Map<Setting, Double> values = new EnumMap<>(Setting.class);
    for (Setting s : Setting.values()) {
      values.put(s, s.field.unset());
    }
    return tuning(values);
  }

  /** Reads a file's text; what is not set has its default. */
  public static Settings read(String text) throws NodeConfig.Invalid {
    Message message =
        TextProto.parse("Settings", Stream.of(Setting.values()).map(s -> s.field).toList(), text);
    Map<Setting, Double> values = new EnumMap<>(Setting.class);
    for (Setting s : Setting.values()) {
      values.put(s, s.field.numberOf(message));
    }
    Settings t = tuning(values);
    if (t.renewMs() * 2 > t.leaseMs()) {
      throw new NodeConfig.Invalid("renew_ms must be at most half of lease_ms");
    }
    return t;
  }

  private static Settings tuning(Map<Setting, Double> m) {
    return new Settings(
        m.get(Setting.PARTS).intValue(),
        m.get(Setting.LEASE_MS).intValue(),
        m.get(Setting.RENEW_MS).intValue(),
        m.get(Setting.LEADER_TTL_MS).intValue(),
        m.get(Setting.GRACE_MS).intValue(),
        m.get(Setting.STATE_FRESH_MS).intValue(),
        m.get(Setting.SAMPLE_SIZE).intValue(),
        m.get(Setting.ROUND_MS).intValue(),
        m.get(Setting.ROUND_BUDGET_MS).intValue(),
        m.get(Setting.MERGE_MS).intValue(),
        m.get(Setting.PARK_MS).intValue(),
        m.get(Setting.IDLE_RETURN_S).intValue(),
        m.get(Setting.CLEAR_S));
  }
}
