package shorecrank.config;

import com.google.protobuf.DescriptorProtos.DescriptorProto;
import com.google.protobuf.DescriptorProtos.FieldDescriptorProto;
import com.google.protobuf.DescriptorProtos.FieldDescriptorProto.Type;
import com.google.protobuf.DescriptorProtos.FileDescriptorProto;
import com.google.protobuf.Descriptors;
import com.google.protobuf.DynamicMessage;
import com.google.protobuf.TextFormat;
import java.util.List;

/** Reads settings in protobuf text format, described by a list of fields instead of a schema. */
public final class TextProto {
  private TextProto() {}

  /** A setting with its range and default; flags have no range. */
  public record Field(String name, boolean flag, double min, double max, double unset) {
    /** A number within a range, both ends included. */
    public static Field number(String name, double min, double max, double unset) {
      return new Field(name, false, min, max, unset);
    }

    /** True or false. */
    public static Field flag(String name, boolean unset) {
      return new Field(name, true, 0, 1, unset ? 1 : 0);
    }

    /** The value in a message that {@link #parse} has read. */
    public double numberOf(DynamicMessage message) {
      Object value = value(message);
      return value == null ? unset : (Double) value;
    }

    /** The value in a message that {@link #parse} has read. */
    public boolean flagOf(DynamicMessage message) {
      Object value = value(message);
      return value == null ? unset != 0 : (Boolean) value;
    }

    private Object value(DynamicMessage message) {
      Descriptors.FieldDescriptor field = message.getDescriptorForType().findFieldByName(name);
      return message.hasField(field) ? message.getField(field) : null;
    }
  }

  /** Reads a text; a field that is unknown, malformed or out of range is named in the failure. */
  public static DynamicMessage parse(String type, List<Field> fields, String text)
      throws NodeConfig.Invalid {
    DynamicMessage.Builder builder = DynamicMessage.newBuilder(descriptor(type, fields));
    try {
      TextFormat.merge(text, builder);
    } catch (TextFormat.ParseException e) {
      throw new NodeConfig.Invalid(e.getMessage().replace('\n', ' '));
    }
    DynamicMessage message = builder.build();
    for (Field field : fields) {
      double value = field.flag() ? 0 : field.numberOf(message);
      if (!field.flag() && !(value >= field.min() && value <= field.max())) {
        throw new NodeConfig.Invalid(
            field.name() + " must be from " + shown(field.min()) + " to " + shown(field.max()));
      }
    }
    return message;
  }

  private static Descriptors.Descriptor descriptor(String type, List<Field> fields) {
    DescriptorProto.Builder message = DescriptorProto.newBuilder().setName(type);
    for (int i = 0; i < fields.size(); i++) {
      message.addField(
          FieldDescriptorProto.newBuilder()
              .setName(fields.get(i).name())
              .setNumber(i + 1)
              .setLabel(FieldDescriptorProto.Label.LABEL_OPTIONAL)
              .setType(fields.get(i).flag() ? Type.TYPE_BOOL : Type.TYPE_DOUBLE));
    }
    FileDescriptorProto file =
        FileDescriptorProto.newBuilder()
            .setName("settings.proto")
            .setSyntax("proto2")
            .addMessageType(message)
            .build();
    try {
      return Descriptors.FileDescriptor.buildFrom(file, new Descriptors.FileDescriptor[0])
          .findMessageTypeByName(type);
    } catch (Descriptors.DescriptorValidationException e) {
      throw new IllegalStateException(e);
    }
  }

  private static String shown(double d) {
    return d == Math.rint(d) ? Long.toString((long) d) : Double.toString(d);
  }
}
