package shorecrank.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.List;
import java.util.function.IntFunction;
import shorecrank.protocol.Ids.AttemptNumber;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.Incarnation;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.Json;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.protocol.UserMessages.JobStatus;

/**
 * The record of an unfinished job, as it stands in the store.
 *
 * <p>{@code seq} counts the writer's writes to this record, so that a writer that got no answer can
 * tell which of its writes was applied. {@code readyAtMs} is when the last job that it needs was
 * done; 0 if it needs none or that is not known.
 */
public record JobRecord(
    JobSpec spec,
    Epoch epoch,
    WriterId writer,
    long seq,
    BitSet done,
    List<AttemptRange> live,
    long attemptCount,
    boolean cancelled,
    long acceptedAtMs,
    long readyAtMs) {

  /** Tasks placed on one machine in one round. Those already done do not count as live. */
  public record AttemptRange(
      int first, int count, MachineName host, Incarnation incarnation, AttemptNumber attempt) {}

  /** With more live ranges than this a record is packed, to fit the value the store takes. */
  private static final int PACK_ABOVE = 24;

  /** Holds all but the head in the dense form. */
  private static final String DENSE_BODY = "b";

  /** Where the compact form has the spec, behind the columns of ranges. */
  private static final int SPEC_COLUMN = 6;

  public static final String LIVE = "j/";
  public static final String FINAL = "f/";

  public static String liveKey(JobId id) {
    return LIVE + id.value();
  }

  public static String finalKey(JobId id) {
    return FINAL + id.value();
  }

  public int running() {
    int n = 0;
    for (AttemptRange r : live) {
      n += r.count - done.get(r.first, r.first + r.count).cardinality();
    }
    return n;
  }

  public JobState phase() {
    if (cancelled) {
      return JobState.CANCELLED;
    }
    return running() > 0 ? JobState.RUNNING : JobState.QUEUED;
  }

  public JobStatus jobStatus() {
    return new JobStatus(phase(), done.cardinality(), cancelled ? 0 : running());
  }

  /** In the form that every version reads. */
  public ObjectNode write() {
    ObjectNode n = head();
    ArrayNode d = doneRuns();
    if (live.size() > PACK_ABOVE || d.size() > 4 * PACK_ABOVE) {
      n.put("z", CompressedJson.pack(columns(d)));
    } else {
      n.set("d", d);
      ArrayNode l = n.putArray("l");
      for (AttemptRange r : live) {
        l.addArray()
            .add(r.first)
            .add(r.count)
            .add(r.host.value())
            .add(r.incarnation.value())
            .add(r.attempt.value());
      }
    }
    n.set("s", spec.write());
    return n;
  }

  /** The same record with the mark of a cancellation. */
  public JobRecord marked() {
    return new JobRecord(
        spec, epoch, writer, seq, done, live, attemptCount, true, acceptedAtMs, readyAtMs);
  }

  private ObjectNode head() {
    ObjectNode n = Json.object();
    n.put("e", epoch.value()).put("w", writer.value()).put("q", seq).put("t", attemptCount);
    n.put("at", acceptedAtMs);
    if (cancelled) {
      n.put("x", true);
    }
    if (readyAtMs > 0) {
      n.put("r", readyAtMs);
    }
    return n;
  }

  private ArrayNode doneRuns() {
    ArrayNode d = Json.array();
    for (int i = done.nextSetBit(0); i >= 0; ) {
      int end = done.nextClearBit(i);
      d.add(i).add(end - i);
      i = done.nextSetBit(end);
    }
    return d;
  }

  /**
   * The shortest form, for where the store takes no more. Versions before pipelines don't read it,
   * so it is written only once the store has refused the other for its size.
   */
  public ObjectNode writeCompact() {
    ArrayNode columns = columns(doneRuns());
    // Tasks that end out of order leave many short runs; then a bit for each is less.
    String bits = Base64.getEncoder().withoutPadding().encodeToString(done.toByteArray());
    if (bits.length() < Json.bytes(columns.get(0)).length) {
      columns.set(0, TextNode.valueOf(bits));
    }
    columns.add(spec.write());
    return head().put("y", CompressedJson.pack(columns));
  }

  /**
   * The dense form, which only versions from feature level 1 on read. Its head is that of the other
   * forms; earlier versions find no spec in it, leave it alone, and answer that they can't tell.
   */
  public ObjectNode writeDense() {
    return head().put(DENSE_BODY, new DenseRecordBody(spec, done, live).write());
  }

  /** Whether a value is a record in the dense form; a quick look, without reading all of it. */
  public static boolean isDense(JsonNode n) {
    return n != null && n.has(DENSE_BODY);
  }

  /** Whether the ordinary form packs this record, so that its size is not small for sure. */
  public boolean isLarge() {
    return live.size() > PACK_ABOVE || done.cardinality() > PACK_ABOVE;
  }

  /** Ranges by column, their firsts as gaps: what is alike stands together and packs well. */
  private ArrayNode columns(ArrayNode doneRuns) {
    ArrayNode columns = Json.array();
    columns.add(doneRuns);
    ArrayNode gaps = columns.addArray();
    ArrayNode counts = columns.addArray();
    ArrayNode hosts = columns.addArray();
    ArrayNode tenures = columns.addArray();
    ArrayNode attempts = columns.addArray();
    int end = 0;
    for (AttemptRange r : live) {
      gaps.add(r.first - end);
      counts.add(r.count);
      hosts.add(r.host.value());
      tenures.add(r.incarnation.value());
      attempts.add(r.attempt.value());
      end = r.first + r.count;
    }
    return columns;
  }

  /** Whether no owner has written it yet; a quick look, without reading all of it. */
  public static boolean isUnclaimed(JsonNode n) {
    return n != null && n.path("e").asLong(-1) == 0;
  }

  /** Whether a user's cancellation is marked on it; a quick look, without reading all of it. */
  public static boolean isMarked(JsonNode n) {
    return n != null && n.path("x").asBoolean(false);
  }

  /** Null if it is not such a record. */
  public static JobRecord read(JsonNode n) {
    if (malformedHead(n)) {
      return null;
    }
    if (isDense(n)) {
      DenseRecordBody body = DenseRecordBody.read(Json.text(n.path(DENSE_BODY)));
      return body == null ? null : withHead(n, body.spec(), body.done(), body.live());
    }
    JsonNode packed = n.path(n.has("y") ? "y" : "z");
    JsonNode columns = packed.isTextual() ? CompressedJson.unpack(packed.textValue()) : null;
    if (columns != null && columns.isMissingNode()) {
      return null;
    }
    JobSpec spec;
    try {
      spec = JobSpec.read(n.has("y") && columns != null ? columns.path(SPEC_COLUMN) : n.path("s"));
    } catch (JobSpec.Malformed e) {
      return null;
    }
    BitSet done = new BitSet();
    JsonNode d = columns == null ? n.path("d") : columns.path(0);
    if (d.isTextual()) {
      try {
        done.or(BitSet.valueOf(Base64.getDecoder().decode(d.textValue())));
      } catch (IllegalArgumentException e) {
        return null;
      }
      if (done.length() > spec.tasks()) {
        return null;
      }
    }
    for (int i = 0; i + 1 < d.size(); i += 2) {
      int first = d.get(i).asInt(-1);
      int many = d.get(i + 1).asInt(-1);
      if (outside(first, many, spec)) {
        return null;
      }
      done.set(first, first + many);
    }
    List<AttemptRange> live = new ArrayList<>();
    int count = columns == null ? n.path("l").size() : columns.path(1).size();
    int end = 0;
    for (int i = 0; i < count; i++) {
      int at = i;
      IntFunction<JsonNode> field =
          columns == null ? f -> n.path("l").path(at).path(f) : f -> columns.path(f + 1).path(at);
      int first = field.apply(0).asInt(-1) + (columns == null ? 0 : end);
      AttemptRange lr =
          new AttemptRange(
              first,
              field.apply(1).asInt(-1),
              new MachineName(field.apply(2).asText()),
              new Incarnation(field.apply(3).asLong()),
              new AttemptNumber(field.apply(4).asLong()));
      end = lr.first + lr.count;
      if (outside(lr.first, lr.count, spec)) {
        return null;
      }
      live.add(lr);
    }
    return withHead(n, spec, done, live);
  }

  private static JobRecord withHead(
      JsonNode n, JobSpec spec, BitSet done, List<AttemptRange> live) {
    return new JobRecord(
        spec,
        new Epoch(n.path("e").asLong()),
        new WriterId(n.path("w").asText()),
        n.path("q").asLong(),
        done,
        live,
        n.path("t").asLong(),
        n.path("x").asBoolean(false),
        n.path("at").asLong(),
        Math.max(0, n.path("r").asLong()));
  }

  /** Whether a range is not one of the job's; sums may exceed what an int holds. */
  private static boolean outside(int first, int count, JobSpec spec) {
    return first < 0 || count < 0 || (long) first + count > spec.tasks();
  }

  /** Whether a field that every version writes is missing or out of range. */
  private static boolean malformedHead(JsonNode n) {
    return Json.count(n.path("e")) < 0
        || Json.count(n.path("q")) < 0
        || Json.count(n.path("t")) < 0
        || Json.count(n.path("at")) < 0
        || !n.path("w").isTextual();
  }

  /** The short record that is kept for ever once a job is over. */
  public static ObjectNode writeFinal(JobState phase, int done) {
    return Json.object().put("p", phase == JobState.DONE ? "done" : "withdrawn").put("n", done);
  }

  /** How a job ended. */
  public record Final(JobState phase, int done) {
    public JobStatus jobStatus() {
      return new JobStatus(phase, done, 0);
    }

    /** Null if it is not such a record. */
    public static Final read(JsonNode n) {
      long done = Json.count(n.path("n"));
      if (done < 0 || done > JobSpec.MAX_TASKS) {
        return null;
      }
      return switch (Json.text(n.path("p"))) {
        case "done" -> new Final(JobState.DONE, (int) done);
        case "withdrawn" -> new Final(JobState.CANCELLED, (int) done);
        default -> null;
      };
    }
  }
}
