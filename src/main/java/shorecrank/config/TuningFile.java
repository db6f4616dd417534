package shorecrank.config;

import com.google.protobuf.DescriptorProtos.DescriptorProto;
import com.google.protobuf.DescriptorProtos.FieldDescriptorProto;
import com.google.protobuf.DescriptorProtos.FileDescriptorProto;
import com.google.protobuf.Descriptors;
import com.google.protobuf.DynamicMessage;
import com.google.protobuf.TextFormat;
import java.util.EnumMap;
import java.util.Map;

/** Reads the operators' settings in protobuf text format. */
public final class TuningFile {
  private TuningFile() {}

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

    final String field;
    final double min;
    final double max;
    final double unset;

    Setting(String field, double min, double max, double unset) {
      this.field = field;
      this.min = min;
      this.max = max;
      this.unset = unset;
    }
  }

  public static Tuning defaults() {
    Map<Setting, Double> m = new EnumMap<>(Setting.class);
    for (Setting s : Setting.values()) {
      m.put(s, s.unset);
    }
    return tuning(m);
  }

  public static Tuning read(String text) throws NodeConfig.Invalid {
    Map<Setting, Double> m = new EnumMap<>(Setting.class);
    try {
      DescriptorProto.Builder d = DescriptorProto.newBuilder().setName("Settings");
      for (Setting s : Setting.values()) {
        d.addField(
            FieldDescriptorProto.newBuilder()
                .setName(s.field)
                .setNumber(s.ordinal() + 1)
                .setLabel(FieldDescriptorProto.Label.LABEL_OPTIONAL)
                .setType(FieldDescriptorProto.Type.TYPE_DOUBLE));
      }
      Descriptors.Descriptor type =
          Descriptors.FileDescriptor.buildFrom(
                  FileDescriptorProto.newBuilder()
                      .setName("settings.proto")
                      .setSyntax("proto2")
                      .addMessageType(d)
                      .build(),
                  new Descriptors.FileDescriptor[0])
              .findMessageTypeByName("Settings");
      DynamicMessage.Builder b = DynamicMessage.newBuilder(type);
      TextFormat.merge(text, b);
      DynamicMessage msg = b.build();
      for (Setting s : Setting.values()) {
        Descriptors.FieldDescriptor f = type.findFieldByName(s.field);
        double v = msg.hasField(f) ? (Double) msg.getField(f) : s.unset;
        if (!(v >= s.min && v <= s.max)) {
          throw new NodeConfig.Invalid(
              s.field + " must be from " + number(s.min) + " to " + number(s.max));
        }
        m.put(s, v);
      }
    } catch (TextFormat.ParseException e) {
      throw new NodeConfig.Invalid(e.getMessage().replace('\n', ' '));
    } catch (Descriptors.DescriptorValidationException e) {
      throw new IllegalStateException(e);
    }
    Tuning t = tuning(m);
    if (t.renewMs() * 2 > t.leaseMs()) {
      throw new NodeConfig.Invalid("renew_ms must be at most half of lease_ms");
    }
    return t;
  }

  private static String number(double d) {
    return d == Math.rint(d) ? Long.toString((long) d) : Double.toString(d);
  }

  private static Tuning tuning(Map<Setting, Double> m) {
    return new Tuning(
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
