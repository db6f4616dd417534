package shorecrank.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
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
import shorecrank.protocol.Json;
import shorecrank.storage.JobRecord.AttemptRange;

/**
 * The body of a job record in its dense form: ended tasks as a Roaring bitmap, live ranges by
 * column with machines as numbers, all deflated. Versions before feature level 1 can't read it.
 */
record DenseRecordBody(JobSpec spec, BitSet done, List<AttemptRange> live) {
  /** The columns of the body, in the order in which they stand. */
  private enum Column {
    SPEC,
    DONE,
    GAPS,
    COUNTS,
    SESSIONS,
    ATTEMPTS,
    HOST_PREFIX,
    HOST_DIGITS,
    HOSTS;

    JsonNode of(JsonNode body) {
      return body.path(ordinal());
    }
  }

  /** Names of machines that differ only in a number of as many digits. */
  private static final Pattern NUMBERED = Pattern.compile("(.*?)(\\d{1,9})");

  String write() {
    ArrayNode body = Json.array();
    body.add(spec.write());
    body.add(
        done.isEmpty()
            ? ""
            : Base64.getEncoder().withoutPadding().encodeToString(serialized(done)));
    ArrayNode gaps = body.addArray();
    ArrayNode counts = body.addArray();
    ArrayNode sessions = body.addArray();
    ArrayNode attempts = body.addArray();
    int end = 0;
    long lastAttempt = 0;
    for (AttemptRange r : live) {
      gaps.add(r.first() - end);
      counts.add(r.count());
      sessions.add(r.incarnation().value());
      attempts.add(r.attempt().value() - lastAttempt);
      end = r.first() + r.count();
      lastAttempt = r.attempt().value();
    }
    writeHosts(body);
    return CompressedJson.pack(body);
  }

  private void writeHosts(ArrayNode body) {
    Matcher first = NUMBERED.matcher(live.isEmpty() ? "" : live.get(0).host().value());
    boolean numbered = first.matches();
    String prefix = numbered ? first.group(1) : "";
    int digits = numbered ? first.group(2).length() : 0;
    body.add(prefix).add(digits);
    ArrayNode hosts = body.addArray();
    for (AttemptRange r : live) {
      String name = r.host().value();
      Matcher m = NUMBERED.matcher(name);
      boolean alike = m.matches() && m.group(1).equals(prefix) && m.group(2).length() == digits;
      if (alike) {
        hosts.add(Integer.parseInt(m.group(2)));
      } else {
        hosts.add(name);
      }
    }
  }

  private static byte[] serialized(BitSet bits) {
    RoaringBitmap bitmap = RoaringBitmap.bitmapOf(bits.stream().toArray());
    bitmap.runOptimize();
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      bitmap.serialize(new DataOutputStream(out));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    return out.toByteArray();
  }

  /** Null if the text is no such body. */
  static DenseRecordBody read(String text) {
    JsonNode n = CompressedJson.unpack(text);
    try {
      JobSpec spec = JobSpec.read(Column.SPEC.of(n));
      BitSet done = readDone(Column.DONE.of(n), spec);
      List<AttemptRange> live = readLive(n, spec);
      return done == null || live == null ? null : new DenseRecordBody(spec, done, live);
    } catch (JobSpec.Malformed e) {
      return null;
    }
  }

  private static BitSet readDone(JsonNode n, JobSpec spec) {
    RoaringBitmap bitmap = new RoaringBitmap();
    if (n.isTextual() && n.textValue().isEmpty()) {
      return new BitSet();
    }
    try {
      byte[] bytes = Base64.getDecoder().decode(Json.text(n));
      bitmap.deserialize(new DataInputStream(new ByteArrayInputStream(bytes)));
    } catch (IOException | RuntimeException e) {
      // The library reads damaged containers without checking them first.
      return null;
    }
    // Tasks are numbered from 0, so the highest, as an unsigned number, must be below their count.
    if (!bitmap.isEmpty() && Integer.toUnsignedLong(bitmap.last()) >= spec.tasks()) {
      return null;
    }
    BitSet done = new BitSet();
    bitmap.forEach((int task) -> done.set(task));
    return done;
  }

  private static List<AttemptRange> readLive(JsonNode n, JobSpec spec) {
    int size = Column.GAPS.of(n).size();
    for (Column column : List.of(Column.COUNTS, Column.HOSTS, Column.SESSIONS, Column.ATTEMPTS)) {
      if (column.of(n).size() != size) {
        return null;
      }
    }
    List<AttemptRange> live = new ArrayList<>();
    long end = 0;
    long attempt = 0;
    for (int i = 0; i < size; i++) {
      long first = end + Column.GAPS.of(n).path(i).asLong(-1);
      long count = Column.COUNTS.of(n).path(i).asLong(-1);
      attempt += Column.ATTEMPTS.of(n).path(i).asLong();
      String host = host(n, Column.HOSTS.of(n).path(i));
      if (first < end || count < 0 || first + count > spec.tasks() || host == null) {
        return null;
      }
      live.add(
          new AttemptRange(
              (int) first,
              (int) count,
              new MachineName(host),
              new Incarnation(Column.SESSIONS.of(n).path(i).asLong()),
              new AttemptNumber(attempt)));
      end = first + count;
    }
    return live;
  }

  private static String host(JsonNode n, JsonNode host) {
    if (host.isTextual()) {
      return host.textValue();
    }
    long number = Json.count(host);
    int digits = Column.HOST_DIGITS.of(n).asInt();
    if (number < 0 || digits < 1 || digits > 9) {
      return null;
    }
    return Json.text(Column.HOST_PREFIX.of(n)) + String.format("%0" + digits + "d", number);
  }
}
