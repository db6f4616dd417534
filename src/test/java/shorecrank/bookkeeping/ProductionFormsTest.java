package shorecrank.bookkeeping;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.Json;
import shorecrank.protocol.PeerMessages;

/**
 * What the version in production writes is read here, and written again to the letter: so it reads
 * ours. The file holds records, keys and messages of commit 6afd132, as its own scenarios mix,
 * scattered, cancel, parts, state-refused and owner-unreached wrote and sent them.
 */
class ProductionFormsTest {
  private static Map<String, List<JsonNode>> forms() throws Exception {
    Map<String, List<JsonNode>> m = new TreeMap<>();
    for (String line : Files.readAllLines(Path.of("src/test/resources/production/forms.txt"))) {
      int tab = line.indexOf('\t');
      m.computeIfAbsent(line.substring(0, tab), k -> new ArrayList<>())
          .add(Json.parse(line.substring(tab + 1).getBytes(StandardCharsets.UTF_8)));
    }
    return m;
  }

  @Test
  void records() throws Exception {
    int packed = 0;
    int marked = 0;
    for (String kind : List.of("key j/", "key j/ packed", "key j/ marked")) {
      for (JsonNode n : forms().get(kind)) {
        JobRecord r = JobRecord.read(n);
        assertNotNull(r, n.toString());
        JobRecord again = JobRecord.read(Json.parse(Json.bytes(r.write())));
        assertEquals(r, again);
        ObjectNode ours = r.write();
        if (n.has("z")) {
          packed++;
        } else {
          assertEquals(n, Json.parse(Json.bytes(ours)));
        }
        marked += JobRecord.isMarked(n) ? 1 : 0;
        assertEquals(n.path("x").asBoolean(false), r.aborted());
        assertTrue(ours.fieldNames().hasNext());
        assertFalse(ours.path("s").has("prereqs"));
      }
    }
    assertTrue(packed > 0 && marked > 0);
    for (JsonNode n : forms().get("key f/")) {
      JobRecord.Final f = JobRecord.Final.read(n);
      assertEquals(n, Json.parse(Json.bytes(JobRecord.writeFinal(f.phase(), f.done()))));
    }
  }

  @Test
  void messages() throws Exception {
    Map<String, List<JsonNode>> m = forms();
    for (JsonNode n : m.get("ask /peer/beat")) {
      assertEquals(n, Json.parse(Json.bytes(PeerMessages.write(PeerMessages.readBeat(n)))));
    }
    for (JsonNode n : m.get("answer /peer/beat")) {
      assertEquals(n, Json.parse(Json.bytes(PeerMessages.write(PeerMessages.readAnswer(n)))));
    }
    for (JsonNode n : m.get("ask /peer/ask")) {
      List<JobId> ids = PeerMessages.asked(n);
      assertFalse(ids.isEmpty());
      assertEquals(n, Json.parse(Json.bytes(PeerMessages.ask(PeerMessages.askedPart(n), ids))));
    }
    for (JsonNode n : m.get("answer /peer/ask")) {
      assertEquals(n.path("told").size(), PeerMessages.told(n).size());
    }
    for (JsonNode n : m.get("ask /peer/relay")) {
      assertFalse(PeerMessages.relayedMethod(n).isEmpty());
      assertFalse(PeerMessages.relayedPath(n).isEmpty());
    }
  }

  /** The shortest form says the same, however scattered the ends of tasks are. */
  @Test
  void compact() throws Exception {
    for (JsonNode n : forms().get("key j/ packed")) {
      JobRecord r = JobRecord.read(n);
      BitSet done = new BitSet();
      for (int i = 0; i < r.spec().tasks(); i += 2) {
        done.set(i);
      }
      JobRecord scattered =
          new JobRecord(
              r.spec(), r.epoch(), r.writer(), r.seq(), done, r.live(), r.tries(), true, 7);
      ObjectNode compact = scattered.writeCompact();
      assertEquals(scattered, JobRecord.read(Json.parse(Json.bytes(compact))));
      assertTrue(Json.bytes(compact).length < Json.bytes(scattered.write()).length);
      assertTrue(JobRecord.isMarked(compact));
    }
  }

  @Test
  void prerequisites() throws Exception {
    ObjectNode spec = (ObjectNode) forms().get("key j/").get(0).path("s").deepCopy();
    spec.putArray("prereqs").add("wk-7").add("wk-8").add("wk-7");
    JobSpec s = JobSpec.read(spec);
    assertEquals(List.of(new JobId("wk-7"), new JobId("wk-8")), s.prerequisites());
    assertEquals(s, JobSpec.read(Json.parse(Json.bytes(s.write()))));
  }
}
