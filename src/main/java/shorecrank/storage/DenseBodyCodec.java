package shorecrank.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.roaringbitmap.RoaringBitmap;
import shorecrank.protocol.Ids.AttemptNumber;
import shorecrank.protocol.Ids.Incarnation;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.JobSpecCodec;
import shorecrank.protocol.Json;
import shorecrank.protocol.MalformedMessageException;
import shorecrank.storage.JobRecord.AttemptRange;

/**
 * Encodes the body of a job record in the dense form: the done tasks as a Roaring bitmap and the
 * live ranges as columns, compressed together. Machine names that differ only in a trailing number
 * are stored as that number. Versions below feature level 1 cannot read this form.
 */
final class DenseBodyCodec {
  /**
   * The columns of the body; their order is the stored order. The gaps and attempt numbers are
   * stored as differences from the previous range.
   */
  private enum Column {
    SPEC,
    DONE,
    GAPS,
    COUNTS,
    INCARNATIONS,
    ATTEMPTS,
    MACHINE_PREFIX,
    MACHINE_DIGITS,
    MACHINES;

    private JsonNode from(JsonNode body) {
      return body.path(ordinal());
    }
  }

  /** The columns that have one element per live range, as {@link Column#GAPS} has. */
  private static final List<Column> RANGE_COLUMNS =
      List.of(Column.COUNTS, Column.MACHINES, Column.INCARNATIONS, Column.ATTEMPTS);

  /** Maximum number of digits at the end of a machine name; nine digits fit into an {@code int}. */
  private static final int MAX_NUMBER_DIGITS = 9;

  /**
   * Matches a machine name that ends in a number. Names with the same prefix and number of digits
   * as the first one are stored as the number only.
   */
  private static final Pattern NUMBERED_NAME =
      Pattern.compile("(.*?)(\\d{1," + MAX_NUMBER_DIGITS + "})");

  private DenseBodyCodec() {}

  /** Encodes a body as text. */
  static String write(RecordBody body) {
    ArrayNode columns = Json.array();
    columns.add(JobSpecCodec.write(body.spec()));
    columns.add(
        body.done().isEmpty()
            ? ""
            : Base64.getEncoder().withoutPadding().encodeToString(serializeBitmap(body.done())));
    ArrayNode gaps = columns.addArray();
    ArrayNode counts = columns.addArray();
    ArrayNode incarnations = columns.addArray();
    ArrayNode attempts = columns.addArray();
    int end = 0;
    long lastAttempt = 0;
    for (AttemptRange range : body.live()) {
      gaps.add(range.first() - end);
      counts.add(range.count());
      incarnations.add(range.incarnation().value());
      attempts.add(range.attempt().value() - lastAttempt);
      end = range.first() + range.count();
      lastAttempt = range.attempt().value();
    }
    writeMachines(body.live(), columns);
    return CompressedJson.compress(columns);
  }

  private static void writeMachines(List<AttemptRange> live, ArrayNode columns) {
    Matcher first = NUMBERED_NAME.matcher(live.isEmpty() ? "" : live.get(0).machine().value());
    boolean isNumbered = first.matches();
    String prefix = isNumbered ? first.group(1) : "";
    int digits = isNumbered ? first.group(2).length() : 0;
    columns.add(prefix).add(digits);
    ArrayNode machines = columns.addArray();
    for (AttemptRange range : live) {
      String name = range.machine().value();
      Matcher matcher = NUMBERED_NAME.matcher(name);
      if (matcher.matches()
          && matcher.group(1).equals(prefix)
          && matcher.group(2).length() == digits) {
        machines.add(Integer.parseInt(matcher.group(2)));
      } else {
        machines.add(name);
      }
    }
  }

  private static byte[] serializeBitmap(BitSet tasks) {
    RoaringBitmap bitmap = RoaringBitmap.bitmapOf(tasks.stream().toArray());
    bitmap.runOptimize();
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      bitmap.serialize(new DataOutputStream(out));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }

  /**
   * Decodes a text that {@link #write} has returned.
   *
   * @param field name of the field that holds the text, for the exception's message
   */
  static RecordBody read(String field, String text) throws MalformedRecordException {
    JsonNode columns = CompressedJson.decompress(field, text);
    JobSpec spec;
    try {
      spec = JobSpecCodec.read(Column.SPEC.from(columns));
    } catch (MalformedMessageException e) {
      throw new MalformedRecordException(field, e);
    }
    BitSet done = readDone(Column.DONE.from(columns), spec);
    return new RecordBody(spec, done, readLive(columns, spec));
  }

  private static BitSet readDone(JsonNode column, JobSpec spec) throws MalformedRecordException {
    BitSet done = new BitSet();
    if (column.isTextual() && column.textValue().isEmpty()) {
      return done;
    }
    RoaringBitmap bitmap = new RoaringBitmap();
    try {
      byte[] bytes = Base64.getDecoder().decode(Json.text(column));
      bitmap.deserialize(new DataInputStream(new ByteArrayInputStream(bytes)));
    } catch (IOException | RuntimeException e) {
      // RoaringBitmap does not validate containers, so damaged ones cause unchecked exceptions too.
      throw new MalformedRecordException(Column.DONE.name(), e);
    }
    // RoaringBitmap numbers are unsigned; tasks are numbered from 0 to spec.tasks() - 1.
    if (!bitmap.isEmpty() && Integer.toUnsignedLong(bitmap.last()) >= spec.tasks()) {
      throw new MalformedRecordException(Column.DONE.name(), "names a task that the job has not");
    }
    bitmap.forEach((int task) -> done.set(task));
    return done;
  }

  private static List<AttemptRange> readLive(JsonNode columns, JobSpec spec)
      throws MalformedRecordException {
    int size = Column.GAPS.from(columns).size();
    for (Column column : RANGE_COLUMNS) {
      if (column.from(columns).size() != size) {
        throw new MalformedRecordException(column.name(), "must have " + size + " elements");
      }
    }
    List<AttemptRange> live = new ArrayList<>();
    long end = 0;
    long attempt = 0;
    for (int i = 0; i < size; i++) {
      long first = end + Column.GAPS.from(columns).path(i).asLong(-1);
      long count = Column.COUNTS.from(columns).path(i).asLong(-1);
      attempt += Column.ATTEMPTS.from(columns).path(i).asLong();
      String machine = readMachine(columns, Column.MACHINES.from(columns).path(i));
      if (first < end || count < 0 || first + count > spec.tasks()) {
        throw new MalformedRecordException(
            Column.GAPS.name(), "or COUNTS names a task that the job has not");
      }
      live.add(
          new AttemptRange(
              (int) first,
              (int) count,
              new MachineName(machine),
              new Incarnation(Column.INCARNATIONS.from(columns).path(i).asLong()),
              new AttemptNumber(attempt)));
      end = first + count;
    }
    return live;
  }

  private static String readMachine(JsonNode columns, JsonNode machine)
      throws MalformedRecordException {
    if (machine.isTextual()) {
      return machine.textValue();
    }
    long number = Json.countOrMinusOne(machine);
    int digits = Column.MACHINE_DIGITS.from(columns).asInt();
    if (number < 0 || digits < 1 || digits > MAX_NUMBER_DIGITS) {
      throw new MalformedRecordException(
          Column.MACHINES.name(),
          "must hold names, or numbers of 1 to " + MAX_NUMBER_DIGITS + " digits");
    }
    String prefix = Json.text(Column.MACHINE_PREFIX.from(columns));
    return prefix + String.format("%0" + digits + "d", number);
  }
}
