package shorecrank.config;

import com.google.protobuf.Message;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import shorecrank.config.TextProto.Field;

/** Reads the file with the operators' settings, which is in protobuf text format. */
public final class SettingsFile {
  /** The settings, each with its name in the file, the ends of its range, and its default. */
  private enum Setting {
    SHARDS("parts", 1, 64, 1),
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

    Setting(String name, double min, double max, double defaultValue) {
      this.field = Field.number(name, min, max, defaultValue);
    }
  }

  private SettingsFile() {}

  /** Returns the settings that apply without a settings file. */
  public static Settings defaults() {
    Map<Setting, Double> values = new EnumMap<>(Setting.class);
    for (Setting setting : Setting.values()) {
      values.put(setting, setting.field.defaultValue());
    }
    return toSettings(values);
  }

  /**
   * Parses the text of a settings file. Settings that are absent from it have their defaults.
   *
   * @throws InvalidConfigException if a setting is unknown, malformed or out of range
   */
  public static Settings read(String text) throws InvalidConfigException {
    List<Field> fields = Stream.of(Setting.values()).map(setting -> setting.field).toList();
    Message message = TextProto.parse("Settings", fields, text);
    Map<Setting, Double> values = new EnumMap<>(Setting.class);
    for (Setting setting : Setting.values()) {
      values.put(setting, setting.field.numberOf(message));
    }
    Settings settings = toSettings(values);
    if (settings.heartbeatIntervalMs() * 2 > settings.leaseMs()) {
      throw new InvalidConfigException("renew_ms", "must be at most half of lease_ms");
    }
    return settings;
  }

  private static Settings toSettings(Map<Setting, Double> values) {
    return new Settings(
        values.get(Setting.SHARDS).intValue(),
        values.get(Setting.LEASE_MS).intValue(),
        values.get(Setting.RENEW_MS).intValue(),
        values.get(Setting.LEADER_TTL_MS).intValue(),
        values.get(Setting.GRACE_MS).intValue(),
        values.get(Setting.STATE_FRESH_MS).intValue(),
        values.get(Setting.SAMPLE_SIZE).intValue(),
        values.get(Setting.ROUND_MS).intValue(),
        values.get(Setting.ROUND_BUDGET_MS).intValue(),
        values.get(Setting.MERGE_MS).intValue(),
        values.get(Setting.PARK_MS).intValue(),
        values.get(Setting.IDLE_RETURN_S).intValue(),
        values.get(Setting.CLEAR_S));
  }
}
