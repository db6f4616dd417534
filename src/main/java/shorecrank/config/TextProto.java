package shorecrank.config;

import com.google.protobuf.DescriptorProtos.DescriptorProto;
import com.google.protobuf.DescriptorProtos.FieldDescriptorProto;
import com.google.protobuf.DescriptorProtos.FieldDescriptorProto.Type;
import com.google.protobuf.DescriptorProtos.FileDescriptorProto;
import com.google.protobuf.Descriptors;
import com.google.protobuf.DynamicMessage;
import com.google.protobuf.Message;
import com.google.protobuf.TextFormat;
import java.util.ArrayList;
import java.util.List;

/** Reads settings in protobuf text format, described by a list of fields instead of a schema. */
public final class TextProto {
  private TextProto() {}

  /** What a setting holds. */
  private enum Kind {
    NUMBER(Type.TYPE_DOUBLE),
    FLAG(Type.TYPE_BOOL),
    TEXT(Type.TYPE_STRING);

    private final Type type;

    Kind(Type type) {
      this.type = type;
    }
  }

  /** A setting with its range and default; flags and texts have no range. */
  public record Field(String name, Kind kind, double min, double max, double unset) {
    /** A number within a range, both ends included. */
    public static Field number(String name, double min, double max, double unset) {
      return new Field(name, Kind.NUMBER, min, max, unset);
    }

    /** True or false. */
    public static Field flag(String name, boolean unset) {
      return new Field(name, Kind.FLAG, 0, 1, unset ? 1 : 0);
    }

    /** A text; empty where it is not set. */
    public static Field text(String name) {
      return new Field(name, Kind.TEXT, 0, 0, 0);
    }

    /** The value in a message that {@link #parse} has read. */
    public double numberOf(Message message) {
      Object value = value(message);
      return value == null ? unset : (Double) value;
    }

    /** The value in a message that {@link #parse} has read. */
    public boolean flagOf(Message message) {
      Object value = value(message);
      return value == null ? unset != 0 : (Boolean) value;
    }

    /** The value in a message that {@link #parse} has read. */
    public String textOf(Message message) {
      Object value = value(message);
      return value == null ? "" : (String) value;
    }

    private Object value(Message message) {
      Descriptors.FieldDescriptor field = message.getDescriptorForType().findFieldByName(name);
      return message.hasField(field) ? message.getField(field) : null;
    }
  }

  /** Settings that may stand together any number of times, in braces behind a name. */
  public record Group(String name, List<Field> fields) {
    /** Each time that the group stands in a message that {@link #parse} has read. */
    public List<Message> of(Message message) {
      Descriptors.FieldDescriptor field = message.getDescriptorForType().findFieldByName(name);
      List<Message> all = new ArrayList<>();
      for (Object one : (List<?>) message.getField(field)) {
        all.add((Message) one);
      }
      return all;
    }
  }

  /** Reads a text; a field that is unknown, malformed or out of range is named in the failure. */
  public static Message parse(String type, List<Field> fields, String text)
      throws NodeConfig.Invalid {
    return parse(type, fields, List.of(), text);
  }

  /** The same, with groups of fields. */
  public static Message parse(String type, List<Field> fields, List<Group> groups, String text)
      throws NodeConfig.Invalid {
    DynamicMessage.Builder builder = DynamicMessage.newBuilder(descriptor(type, fields, groups));
    try {
      TextFormat.merge(text, builder);
    } catch (TextFormat.ParseException e) {
      throw new NodeConfig.Invalid(e.getMessage().replace('\n', ' '));
    }
    DynamicMessage message = builder.build();
    check("", fields, message);
    for (Group group : groups) {
      for (Message one : group.of(message)) {
        check(group.name() + ".", group.fields(), one);
      }
    }
    return message;
  }

  private static void check(String in, List<Field> fields, Message message)
      throws NodeConfig.Invalid {
    for (Field field : fields) {
      if (field.kind() != Kind.NUMBER) {
        continue;
      }
      double value = field.numberOf(message);
      if (!(value >= field.min() && value <= field.max())) {
        String range = " must be from " + shown(field.min()) + " to " + shown(field.max());
        throw new NodeConfig.Invalid(in + field.name() + range);
      }
    }
  }

  private static Descriptors.Descriptor descriptor(
      String type, List<Field> fields, List<Group> groups) {
    DescriptorProto.Builder message = message(type, fields);
    for (Group group : groups) {
      String groupType = group.name() + "Group";
      message.addNestedType(message(groupType, group.fields()));
      message.addField(
          FieldDescriptorProto.newBuilder()
              .setName(group.name())
              .setNumber(message.getFieldCount() + 1)
              .setLabel(FieldDescriptorProto.Label.LABEL_REPEATED)
              .setType(Type.TYPE_MESSAGE)
              .setTypeName("." + type + "." + groupType));
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

  private static DescriptorProto.Builder message(String type, List<Field> fields) {
    DescriptorProto.Builder message = DescriptorProto.newBuilder().setName(type);
    for (int i = 0; i < fields.size(); i++) {
      message.addField(
          FieldDescriptorProto.newBuilder()
              .setName(fields.get(i).name())
              .setNumber(i + 1)
              .setLabel(FieldDescriptorProto.Label.LABEL_OPTIONAL)
              .setType(fields.get(i).kind().type));
    }
    return message;
  }

  private static String shown(double d) {
    return d == Math.rint(d) ? Long.toString((long) d) : Double.toString(d);
  }
}
