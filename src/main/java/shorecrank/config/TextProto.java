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

/**
 * Parses settings in protobuf text format. A list of fields with names, ranges and defaults
 * describes them in place of a {@code .proto} file.
 */
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
   * A setting with its range and default. The range is ignored for flags and texts.
   *
   * @param min the lowest number allowed
   * @param max the highest number allowed
   * @param defaultValue the number that applies if the setting is absent; for a flag, 1 for true
   *     and 0 for false; ignored for a text
   */
  public record Field(String name, Kind kind, double min, double max, double defaultValue) {
    /** Describes a number from {@code min} to {@code max}, both inclusive. */
    public static Field number(String name, double min, double max, double defaultValue) {
      return new Field(name, Kind.NUMBER, min, max, defaultValue);
    }

    /** Describes a setting that is true or false. */
    public static Field flag(String name, boolean defaultValue) {
      return new Field(name, Kind.FLAG, 0, 1, defaultValue ? 1 : 0);
    }

    /** Describes a text, which is empty if it is absent. */
    public static Field text(String name) {
      return new Field(name, Kind.TEXT, 0, 0, 0);
    }

    /** Returns this setting's number in a parsed message, or the default if it is absent. */
    public double numberOf(Message message) {
      Object value = value(message);
      return value == null ? defaultValue : (Double) value;
    }

    /** Returns this setting's flag in a parsed message, or the default if it is absent. */
    public boolean flagOf(Message message) {
      Object value = value(message);
      return value == null ? defaultValue != 0 : (Boolean) value;
    }

    /** Returns this setting's text in a parsed message; empty if it is absent. */
    public String textOf(Message message) {
      Object value = value(message);
      return value == null ? "" : (String) value;
    }

    /** Returns this setting's value in a parsed message, or null if it is absent. */
    private Object value(Message message) {
      FieldDescriptor field = message.getDescriptorForType().findFieldByName(name);
      return message.hasField(field) ? message.getField(field) : null;
    }
  }

  /**
   * A named group of settings, written in braces after the name. The text may contain any number of
   * groups with the same name.
   *
   * @param fields the settings that one group may contain
   */
  public record Group(String name, List<Field> fields) {
    /** Returns the groups of this name in a parsed message, in the order of the text. */
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
   * Parses settings without groups.
   *
   * @param type the name of the message type that the parser's error messages show
   * @param fields the settings that the text may contain
   * @throws InvalidConfigException if a setting is unknown, malformed or out of range; the message
   *     names it
   */
  public static Message parse(String type, List<Field> fields, String text)
      throws InvalidConfigException {
    return parse(type, fields, List.of(), text);
  }

  /** Parses settings with groups; otherwise the same as {@link #parse(String, List, String)}. */
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
