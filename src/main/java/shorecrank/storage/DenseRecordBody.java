package shorecrank.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
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
import shorecrank.protocol.Ids.Attempt;
import shorecrank.protocol.Ids.HostName;
import shorecrank.protocol.Ids.Tenure;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.Json;
import shorecrank.storage.JobRecord.LiveRange;

/**
 * The body of a job record in its dense form: ended tasks as a Roaring bitmap, live ranges by
 * column with machines as numbers, all deflated. Versions before feature level 1 can't read it.
 */
record DenseRecordBody(JobSpec spec, BitSet done, List<LiveRange> live) {
  private static final String SPEC = "s";
  private static final String DONE = "d";
  private static final String GAPS = "g";
  private static final String COUNTS = "n";
  private static final String HOST_PREFIX = "hp";
  private static final String HOST_DIGITS = "hd";
  private static final String HOSTS = "h";
  private static final String SESSIONS = "t";
  private static final String ATTEMPTS = "a";

  /** Names of machines that differ only in a number of as many digits. */
  private static final Pattern NUMBERED = Pattern.compile("(.*?)(\\d{1,9})");

  String write() {
    ObjectNode n = Json.object();
    n.set(SPEC, spec.write());
    n.put(DONE, Base64.getEncoder().withoutPadding().encodeToString(serialized(done)));
    ArrayNode gaps = n.putArray(GAPS);
    ArrayNode counts = n.putArray(COUNTS);
    ArrayNode sessions = n.putArray(SESSIONS);
    ArrayNode attempts = n.putArray(ATTEMPTS);
    int end = 0;
    long lastAttempt = 0;
    for (LiveRange r : live) {
      gaps.add(r.first() - end);
      counts.add(r.count());
      sessions.add(r.tenure().value());
      attempts.add(r.attempt().value() - lastAttempt);
      end = r.first() + r.count();
      lastAttempt = r.attempt().value();
    }
    writeHosts(n);
    return CompressedJson.pack(n);
  }

  private void writeHosts(ObjectNode n) {
    ArrayNode hosts = n.putArray(HOSTS);
    Matcher first = live.isEmpty() ? null : NUMBERED.matcher(live.get(0).host().value());
    if (first == null || !first.matches()) {
      live.forEach(r -> hosts.add(r.host().value()));
      return;
    }
    String prefix = first.group(1);
    int digits = first.group(2).length();
    n.put(HOST_PREFIX, prefix).put(HOST_DIGITS, digits);
    for (LiveRange r : live) {
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
      JobSpec spec = JobSpec.read(n.path(SPEC));
      BitSet done = readDone(n.path(DONE), spec);
      List<LiveRange> live = readLive(n, spec);
      return done == null || live == null ? null : new DenseRecordBody(spec, done, live);
    } catch (JobSpec.Malformed e) {
      return null;
    }
  }

  private static BitSet readDone(JsonNode n, JobSpec spec) {
    RoaringBitmap bitmap = new RoaringBitmap();
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

  private static List<LiveRange> readLive(JsonNode n, JobSpec spec) {
    int size = n.path(GAPS).size();
    for (String column : List.of(COUNTS, HOSTS, SESSIONS, ATTEMPTS)) {
      if (n.path(column).size() != size) {
        return null;
      }
    }
    List<LiveRange> live = new ArrayList<>();
    long end = 0;
    long attempt = 0;
    for (int i = 0; i < size; i++) {
      long first = end + n.path(GAPS).path(i).asLong(-1);
      long count = n.path(COUNTS).path(i).asLong(-1);
      attempt += n.path(ATTEMPTS).path(i).asLong();
      String host = host(n, n.path(HOSTS).path(i));
      if (first < end || count < 0 || first + count > spec.tasks() || host == null) {
        return null;
      }
      live.add(
          new LiveRange(
              (int) first,
              (int) count,
              new HostName(host),
              new Tenure(n.path(SESSIONS).path(i).asLong()),
              new Attempt(attempt)));
      end = first + count;
    }
    return live;
  }

  private static String host(JsonNode n, JsonNode host) {
    if (host.isTextual()) {
      return host.textValue();
    }
    long number = Json.count(host);
    int digits = n.path(HOST_DIGITS).asInt();
    if (number < 0 || digits < 1 || digits > 9) {
      return null;
    }
    return Json.text(n.path(HOST_PREFIX)) + String.format("%0" + digits + "d", number);
  }
}
