package shorecrank.config;

import com.google.protobuf.DescriptorProtos.DescriptorProto;
import com.google.protobuf.DescriptorProtos.FieldDescriptorProto;
import com.google.protobuf.DescriptorProtos.FieldDescriptorProto.Label;
import com.google.protobuf.DescriptorProtos.FieldDescriptorProto.Type;
import com.google.protobuf.DescriptorProtos.FileDescriptorProto;
import com.google.protobuf.Descriptors.Descriptor;
import com.google.protobuf.Descriptors.DescriptorValidationException;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Descriptors.FileDescriptor;
import com.google.protobuf.DynamicMessage;
import com.google.protobuf.Message;
import com.google.protobuf.TextFormat;
import java.util.ArrayList;
import java.util.List;

/** Reads settings in protobuf text format, described by a list of fields in place of a schema. */
public final class TextProto {
  private TextProto() {}

  /** The type of a setting's value. */
  private enum Kind {
    NUMBER(Type.TYPE_DOUBLE),
    FLAG(Type.TYPE_BOOL),
    TEXT(Type.TYPE_STRING);

    private final Type type;

    Kind(Type type) {
      this.type = type;
    }
  }

  /**
   * A setting with its range and default; flags and texts have no range.
   *
   * @param min the least number allowed
   * @param max the greatest number allowed
   * @param defaultValue the number where it is not set; for a flag 1 for true
   */
  public record Field(String name, Kind kind, double min, double max, double defaultValue) {
    /** A number within a range, both ends included. */
    public static Field number(String name, double min, double max, double defaultValue) {
      return new Field(name, Kind.NUMBER, min, max, defaultValue);
    }

    /** True or false. */
    public static Field flag(String name, boolean defaultValue) {
      return new Field(name, Kind.FLAG, 0, 1, defaultValue ? 1 : 0);
    }

    /** A text; empty where it is not set. */
    public static Field text(String name) {
      return new Field(name, Kind.TEXT, 0, 0, 0);
    }

    /** The number in a message that {@link #parse} has read, or the default. */
    public double numberOf(Message message) {
      Object value = value(message);
      return value == null ? defaultValue : (Double) value;
    }

    /** The flag in a message that {@link #parse} has read, or the default. */
    public boolean flagOf(Message message) {
      Object value = value(message);
      return value == null ? defaultValue != 0 : (Boolean) value;
    }

    /** The text in a message that {@link #parse} has read; empty if it is not set. */
    public String textOf(Message message) {
      Object value = value(message);
      return value == null ? "" : (String) value;
    }

    /** Null if the field is not set. */
    private Object value(Message message) {
      FieldDescriptor field = message.getDescriptorForType().findFieldByName(name);
      return message.hasField(field) ? message.getField(field) : null;
    }
  }

  /** Settings in braces behind a name, which may be given any number of times. */
  public record Group(String name, List<Field> fields) {
    /** The groups of this name in a message that {@link #parse} has read, in their order. */
    public List<Message> messagesIn(Message message) {
      FieldDescriptor field = message.getDescriptorForType().findFieldByName(name);
      List<Message> messages = new ArrayList<>();
      for (Object element : (List<?>) message.getField(field)) {
        messages.add((Message) element);
      }
      return messages;
    }
  }

  /**
   * Reads a text; the failure names a field that is unknown, malformed or out of range.
   *
   * @param type the name of the message, for the parser's failures
   */
  public static Message parse(String type, List<Field> fields, String text)
      throws InvalidConfigException {
    return parse(type, fields, List.of(), text);
  }

  /** Reads a text with groups of fields; see {@link #parse(String, List, String)}. */
  public static Message parse(String type, List<Field> fields, List<Group> groups, String text)
      throws InvalidConfigException {
    DynamicMessage.Builder builder = DynamicMessage.newBuilder(descriptor(type, fields, groups));
    try {
      TextFormat.merge(text, builder);
    } catch (TextFormat.ParseException e) {
      throw new InvalidConfigException(e.getMessage().replace('\n', ' '));
    }
    DynamicMessage message = builder.build();
    check("", fields, message);
    for (Group group : groups) {
      for (Message groupMessage : group.messagesIn(message)) {
        check(group.name() + ".", group.fields(), groupMessage);
      }
    }
    return message;
  }

  private static void check(String path, List<Field> fields, Message message)
      throws InvalidConfigException {
    for (Field field : fields) {
      if (field.kind() != Kind.NUMBER) {
        continue;
      }
      double value = field.numberOf(message);
      if (!(value >= field.min() && value <= field.max())) {
        throw new InvalidConfigException(
            path + field.name(),
            "must be from " + format(field.min()) + " to " + format(field.max()));
      }
    }
  }

  private static Descriptor descriptor(String type, List<Field> fields, List<Group> groups) {
    DescriptorProto.Builder message = message(type, fields);
    for (Group group : groups) {
      String groupType = group.name() + "Group";
      message.addNestedType(message(groupType, group.fields()));
      message.addField(
          FieldDescriptorProto.newBuilder()
              .setName(group.name())
              .setNumber(message.getFieldCount() + 1)
              .setLabel(Label.LABEL_REPEATED)
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
      return FileDescriptor.buildFrom(file, new FileDescriptor[0]).findMessageTypeByName(type);
    } catch (DescriptorValidationException e) {
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
              .setLabel(Label.LABEL_OPTIONAL)
              .setType(fields.get(i).kind().type));
    }
    return message;
  }

  private static String format(double number) {
    return number == Math.rint(number) ? Long.toString((long) number) : Double.toString(number);
  }
}
