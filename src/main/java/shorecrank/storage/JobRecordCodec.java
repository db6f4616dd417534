package shorecrank.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.List;
import shorecrank.protocol.Ids.AttemptNumber;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.Incarnation;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.JobSpecCodec;
import shorecrank.protocol.Json;
import shorecrank.protocol.MalformedMessageException;
import shorecrank.storage.JobRecord.AttemptRange;

/**
 * Encodes and decodes the stored forms of a job record. All forms share the head, which is every
 * field but the spec, the done tasks and the live ranges. They differ in how they hold the latter
 * three, the body:
 *
 * <ul>
 *   <li>plain: the spec, the runs of done tasks and the live ranges as JSON. If there are many of
 *       them, the runs and ranges are compressed. All versions read it.
 *   <li>compact: spec, done tasks and live ranges compressed together. Versions without job
 *       dependencies cannot read it.
 *   <li>dense: see {@link DenseBodyCodec}. Versions below feature level 1 cannot read it.
 * </ul>
 */
final class JobRecordCodec {
  private static final String EPOCH = "e";
  private static final String WRITER = "w";
  private static final String SEQUENCE = "q";
  private static final String ATTEMPT_COUNT = "t";
  private static final String ACCEPTED_AT = "at";
  private static final String CANCELLED = "x";
  private static final String READY_AT = "r";

  /** Plain form: the job's spec. */
  private static final String SPEC = "s";

  /** Plain form: the first task and the length of each run of done tasks. */
  private static final String DONE = "d";

  /** Plain form: the live ranges. */
  private static final String LIVE = "l";

  /**
   * Plain form of a large record: the compressed columns, in place of {@link #DONE} and {@link
   * #LIVE}.
   */
  private static final String COMPRESSED_COLUMNS = "z";

  /** Compact form: the compressed columns, followed by the spec as the last column. */
  private static final String COMPACT_BODY = "y";

  /** Dense form: the whole body. */
  private static final String DENSE_BODY = "b";

  /** The columns of a compressed body; their order is the stored order. */
  private enum Column {
    DONE,
    GAPS,
    COUNTS,
    MACHINES,
    INCARNATIONS,
    ATTEMPTS,
    /** The job's spec, which is a column only in the compact form. */
    SPEC;

    private JsonNode from(JsonNode columns) {
      return columns.path(ordinal());
    }
  }

  /** The elements of a live range in the plain form; their order is the stored order. */
  private enum RangeElement {
    FIRST,
    COUNT,
    MACHINE,
    INCARNATION,
    ATTEMPT;

    private JsonNode from(JsonNode range) {
      return range.path(ordinal());
    }
  }

  /**
   * Maximum number of live ranges that the plain form holds uncompressed. A record with more ranges
   * may exceed the state service's maximum value size.
   */
  private static final int MAX_PLAIN_RANGES = 24;

  /**
   * Maximum length of the uncompressed array of runs of done tasks, which has two numbers per run.
   */
  private static final int MAX_PLAIN_RUN_NUMBERS = 4 * MAX_PLAIN_RANGES;

  private JobRecordCodec() {}

  // ---- encoding --------------------------------------------------------------------------------

  /** Encodes a record in the plain form. */
  static ObjectNode writePlain(JobRecord record) {
    ObjectNode value = writeHead(record);
    ArrayNode doneRuns = doneRuns(record.done());
    if (record.live().size() > MAX_PLAIN_RANGES || doneRuns.size() > MAX_PLAIN_RUN_NUMBERS) {
      value.put(COMPRESSED_COLUMNS, CompressedJson.compress(columns(doneRuns, record.live())));
    } else {
      value.set(DONE, doneRuns);
      ArrayNode ranges = value.putArray(LIVE);
      for (AttemptRange range : record.live()) {
        ranges
            .addArray()
            .add(range.first())
            .add(range.count())
            .add(range.machine().value())
            .add(range.incarnation().value())
            .add(range.attempt().value());
      }
    }
    value.set(SPEC, JobSpecCodec.write(record.spec()));
    return value;
  }

  /** Encodes a record in the compact form. */
  static ObjectNode writeCompact(JobRecord record) {
    ArrayNode columns = columns(doneRuns(record.done()), record.live());
    // Tasks that end out of order leave many short runs; then one bit per task takes less space.
    String bits = Base64.getEncoder().withoutPadding().encodeToString(record.done().toByteArray());
    if (bits.length() < Json.bytes(Column.DONE.from(columns)).length) {
      columns.set(Column.DONE.ordinal(), TextNode.valueOf(bits));
    }
    columns.add(JobSpecCodec.write(record.spec()));
    return writeHead(record).put(COMPACT_BODY, CompressedJson.compress(columns));
  }

  /** Encodes a record in the dense form. */
  static ObjectNode writeDense(JobRecord record) {
    RecordBody body = new RecordBody(record.spec(), record.done(), record.live());
    return writeHead(record).put(DENSE_BODY, DenseBodyCodec.write(body));
  }

  /**
   * Reports whether the plain form of a record may be compressed, so that its size has to be
   * measured.
   */
  static boolean isLarge(JobRecord record) {
    return record.live().size() > MAX_PLAIN_RANGES
        || record.done().cardinality() > MAX_PLAIN_RANGES;
  }

  private static ObjectNode writeHead(JobRecord record) {
    ObjectNode value = Json.object();
    value.put(EPOCH, record.epoch().value());
    value.put(WRITER, record.writer().value());
    value.put(SEQUENCE, record.sequence());
    value.put(ATTEMPT_COUNT, record.attemptCount());
    value.put(ACCEPTED_AT, record.acceptedAtMs());
    if (record.cancelled()) {
      value.put(CANCELLED, true);
    }
    if (record.readyAtMs() > 0) {
      value.put(READY_AT, record.readyAtMs());
    }
    return value;
  }

  /** Returns the first task and the length of each run of done tasks. */
  private static ArrayNode doneRuns(BitSet done) {
    ArrayNode runs = Json.array();
    for (int first = done.nextSetBit(0); first >= 0; ) {
      int end = done.nextClearBit(first);
      runs.add(first).add(end - first);
      first = done.nextSetBit(end);
    }
    return runs;
  }

  /**
   * Returns the done tasks and the live ranges by column, with the first task of each range as the
   * gap after the previous range. Similar values next to each other compress well.
   */
  private static ArrayNode columns(ArrayNode doneRuns, List<AttemptRange> live) {
    ArrayNode columns = Json.array();
    columns.add(doneRuns);
    ArrayNode gaps = columns.addArray();
    ArrayNode counts = columns.addArray();
    ArrayNode machines = columns.addArray();
    ArrayNode incarnations = columns.addArray();
    ArrayNode attempts = columns.addArray();
    int end = 0;
    for (AttemptRange range : live) {
      gaps.add(range.first() - end);
      counts.add(range.count());
      machines.add(range.machine().value());
      incarnations.add(range.incarnation().value());
      attempts.add(range.attempt().value());
      end = range.first() + range.count();
    }
    return columns;
  }

  // ---- decoding --------------------------------------------------------------------------------

  /** Reports whether a value is in the dense form; does not decode the body. */
  static boolean isDense(JsonNode value) {
    return value != null && value.has(DENSE_BODY);
  }

  /** Reports whether no shard owner has written the record yet; reads only the head. */
  static boolean isUnclaimed(JsonNode value) {
    return value != null && value.path(EPOCH).asLong(-1) == 0;
  }

  /** Reports whether the record is marked as cancelled by the user; reads only the head. */
  static boolean isMarkedCancelled(JsonNode value) {
    return value != null && value.path(CANCELLED).asBoolean(false);
  }

  /** Decodes a record in any form. */
  static JobRecord read(JsonNode value) throws MalformedRecordException {
    checkHead(value);
    if (isDense(value)) {
      String text = Json.text(value.path(DENSE_BODY));
      return withHead(value, DenseBodyCodec.read(DENSE_BODY, text));
    }
    boolean isCompact = value.has(COMPACT_BODY);
    String field = isCompact ? COMPACT_BODY : COMPRESSED_COLUMNS;
    JsonNode compressed = value.path(field);
    if (!compressed.isTextual()) {
      JobSpec spec = readSpec(value.path(SPEC));
      BitSet done = readDone(value.path(DONE), spec);
      return withHead(value, new RecordBody(spec, done, readRanges(value.path(LIVE), spec)));
    }
    JsonNode columns = CompressedJson.decompress(field, compressed.textValue());
    JobSpec spec = readSpec(isCompact ? Column.SPEC.from(columns) : value.path(SPEC));
    BitSet done = readDone(Column.DONE.from(columns), spec);
    return withHead(value, new RecordBody(spec, done, readColumns(columns, spec)));
  }

  private static JobSpec readSpec(JsonNode spec) throws MalformedRecordException {
    try {
      return JobSpecCodec.read(spec);
    } catch (MalformedMessageException e) {
      throw new MalformedRecordException(SPEC, e);
    }
  }

  /** Decodes the done tasks, stored as runs or as Base64 text with one bit per task. */
  private static BitSet readDone(JsonNode stored, JobSpec spec) throws MalformedRecordException {
    if (stored.isTextual()) {
      return readDoneBits(stored.textValue(), spec);
    }
    BitSet done = new BitSet();
    for (int i = 0; i + 1 < stored.size(); i += 2) {
      int first = stored.get(i).asInt(-1);
      int count = stored.get(i + 1).asInt(-1);
      checkRange(DONE, first, count, spec);
      done.set(first, first + count);
    }
    return done;
  }

  private static BitSet readDoneBits(String text, JobSpec spec) throws MalformedRecordException {
    BitSet done;
    try {
      done = BitSet.valueOf(Base64.getDecoder().decode(text));
    } catch (IllegalArgumentException e) {
      throw new MalformedRecordException(DONE, e);
    }
    if (done.length() > spec.tasks()) {
      throw new MalformedRecordException(DONE, "names a task that the job has not");
    }
    return done;
  }

  private static List<AttemptRange> readRanges(JsonNode ranges, JobSpec spec)
      throws MalformedRecordException {
    List<AttemptRange> live = new ArrayList<>();
    for (int i = 0; i < ranges.size(); i++) {
      JsonNode range = ranges.path(i);
      live.add(
          checkedRange(
              RangeElement.FIRST.from(range).asInt(-1),
              RangeElement.COUNT.from(range),
              RangeElement.MACHINE.from(range),
              RangeElement.INCARNATION.from(range),
              RangeElement.ATTEMPT.from(range),
              spec));
    }
    return live;
  }

  private static List<AttemptRange> readColumns(JsonNode columns, JobSpec spec)
      throws MalformedRecordException {
    List<AttemptRange> live = new ArrayList<>();
    JsonNode gaps = Column.GAPS.from(columns);
    int end = 0;
    for (int i = 0; i < gaps.size(); i++) {
      AttemptRange range =
          checkedRange(
              gaps.path(i).asInt(-1) + end,
              Column.COUNTS.from(columns).path(i),
              Column.MACHINES.from(columns).path(i),
              Column.INCARNATIONS.from(columns).path(i),
              Column.ATTEMPTS.from(columns).path(i),
              spec);
      live.add(range);
      end = range.first() + range.count();
    }
    return live;
  }

  private static AttemptRange checkedRange(
      int first,
      JsonNode count,
      JsonNode machine,
      JsonNode incarnation,
      JsonNode attempt,
      JobSpec spec)
      throws MalformedRecordException {
    AttemptRange range =
        new AttemptRange(
            first,
            count.asInt(-1),
            new MachineName(machine.asText()),
            new Incarnation(incarnation.asLong()),
            new AttemptNumber(attempt.asLong()));
    checkRange(LIVE, first, range.count(), spec);
    return range;
  }

  /**
   * Throws an exception if a range is not within the job's tasks; the end is computed as a long
   * because it may exceed an int.
   */
  private static void checkRange(String field, int first, int count, JobSpec spec)
      throws MalformedRecordException {
    if (first < 0 || count < 0 || (long) first + count > spec.tasks()) {
      throw new MalformedRecordException(field, "names a task that the job has not");
    }
  }

  /** Returns the record with the given body and the head that {@code value} holds. */
  private static JobRecord withHead(JsonNode value, RecordBody body) {
    return new JobRecord(
        body.spec(),
        new Epoch(value.path(EPOCH).asLong()),
        new WriterId(value.path(WRITER).asText()),
        value.path(SEQUENCE).asLong(),
        body.done(),
        body.live(),
        value.path(ATTEMPT_COUNT).asLong(),
        value.path(CANCELLED).asBoolean(false),
        value.path(ACCEPTED_AT).asLong(),
        Math.max(0, value.path(READY_AT).asLong()));
  }

  /** Throws an exception if one of the fields that every version writes is missing or malformed. */
  private static void checkHead(JsonNode value) throws MalformedRecordException {
    for (String field : List.of(EPOCH, SEQUENCE, ATTEMPT_COUNT, ACCEPTED_AT)) {
      if (Json.countOrMinusOne(value.path(field)) < 0) {
        throw new MalformedRecordException(field, "must be a whole number from 0 up");
      }
    }
    if (!value.path(WRITER).isTextual()) {
      throw new MalformedRecordException(WRITER, "must be a text");
    }
  }
}
