package shorecrank.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.IntNode;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import shorecrank.protocol.CancellationCodec;
import shorecrank.protocol.CancellationMessages;
import shorecrank.protocol.ForwardedRequestCodec;
import shorecrank.protocol.HeartbeatAnswerCodec;
import shorecrank.protocol.HeartbeatCodec;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.JobSpecCodec;
import shorecrank.protocol.Json;
import shorecrank.protocol.MalformedMessageException;
import shorecrank.protocol.StatusQueryCodec;

/**
 * What earlier versions write is read here, and written again to the letter: so they read ours. The
 * files hold recordsAreWrittenAgainAsRead, keys and messagesAreWrittenAgainAsRead of commits
 * 6afd132 and b9fa1f3, as their own scenarios wrote and sent them.
 */
class EarlierVersionFormsTest {
  private static final String WITHOUT_DEPENDENCIES = "forms.txt";
  private static final String WITH_DEPENDENCIES = "forms-b9fa1f3.txt";

  private static Map<String, List<JsonNode>> forms(String file) throws Exception {
    Map<String, List<JsonNode>> m = new TreeMap<>();
    for (String line : Files.readAllLines(Path.of("src/test/resources/production", file))) {
      int tab = line.indexOf('\t');
      m.computeIfAbsent(line.substring(0, tab), k -> new ArrayList<>())
          .add(Json.parse(line.substring(tab + 1).getBytes(StandardCharsets.UTF_8)));
    }
    return m;
  }

  private static List<JsonNode> of(String file, String kind) throws Exception {
    List<JsonNode> l = forms(file).get(kind);
    assertNotNull(l, kind + " is missing in " + file);
    return l;
  }

  @ParameterizedTest
  @ValueSource(strings = {WITHOUT_DEPENDENCIES, WITH_DEPENDENCIES})
  void recordsAreWrittenAgainAsRead(String file) throws Exception {
    int packed = 0;
    int marked = 0;
    for (String kind : List.of("key j/", "key j/ packed", "key j/ marked")) {
      for (JsonNode n : of(file, kind)) {
        assertWrittenAgainAsRead(n);
        packed += n.has("z") ? 1 : 0;
        marked += JobRecord.isMarkedCancelled(n) ? 1 : 0;
        assertFalse(n.path("s").has("prereqs"));
      }
    }
    assertTrue(packed > 0 && marked > 0);
    for (JsonNode n : of(file, "key f/")) {
      JobRecord.Final f = JobRecord.Final.read(n);
      assertEquals(n, Json.parse(Json.bytes(JobRecord.writeFinal(f.state(), f.done()))));
    }
  }

  @Test
  void recordsWithDependenciesAreWrittenAgainAsRead() throws Exception {
    for (JsonNode n : of(WITH_DEPENDENCIES, "key j/ prereqs")) {
      assertWrittenAgainAsRead(n);
      assertFalse(JobRecord.read(n).spec().dependencies().isEmpty());
    }
  }

  /** Read and written again, a record is the same; a packed one says the same. */
  private static void assertWrittenAgainAsRead(JsonNode stored) {
    JobRecord record = JobRecord.read(stored);
    assertNotNull(record, stored.toString());
    ObjectNode written = record.write();
    assertEquals(record, JobRecord.read(Json.parse(Json.bytes(written))));
    assertEquals(stored.path("x").asBoolean(false), record.cancelled());
    if (!stored.has("z")) {
      assertEquals(stored, Json.parse(Json.bytes(written)));
    }
  }

  /** What makes no sense is refused, wherever it is wrong, and ends nothing. */
  @Test
  void damagedRecordsAreRejected() throws Exception {
    for (String file : List.of(WITHOUT_DEPENDENCIES, WITH_DEPENDENCIES)) {
      for (String kind : List.of("key j/", "key j/ packed")) {
        for (JsonNode n : of(file, kind)) {
          for (String field : List.of("e", "w", "q", "t", "at", "s")) {
            ObjectNode without = n.deepCopy();
            without.remove(field);
            assertNull(JobRecord.read(without), field);
            assertNull(JobRecord.read(((ObjectNode) n.deepCopy()).put(field, -1)), field);
          }
          if (n.has("z")) {
            String z = n.path("z").textValue();
            ObjectNode cut = ((ObjectNode) n.deepCopy()).put("z", z.substring(0, z.length() / 2));
            assertNull(JobRecord.read(cut));
            assertNull(JobRecord.read(((ObjectNode) n.deepCopy()).put("z", "no base 64")));
          }
        }
      }
    }
    ObjectNode n = of(WITHOUT_DEPENDENCIES, "key j/").get(1).deepCopy();
    for (int[] range :
        new int[][] {{0, Integer.MAX_VALUE}, {Integer.MAX_VALUE, 2}, {-1, 1}, {0, -1}}) {
      ObjectNode done = n.deepCopy();
      done.putArray("d").add(range[0]).add(range[1]);
      assertNull(JobRecord.read(done));
      ObjectNode live = n.deepCopy();
      live.putArray("l").addArray().add(range[0]).add(range[1]).add("n-000001").add(1).add(1);
      assertNull(JobRecord.read(live));
    }
    for (String text : List.of("{}", "[]", "3", "{\"p\":\"gone\",\"n\":1}", "{\"p\":\"done\"}")) {
      assertNull(JobRecord.Final.read(Json.parse(text.getBytes(StandardCharsets.UTF_8))));
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {WITHOUT_DEPENDENCIES, WITH_DEPENDENCIES})
  void messagesAreWrittenAgainAsRead(String file) throws Exception {
    for (JsonNode n : of(file, "ask /peer/beat")) {
      assertEquals(n, Json.parse(Json.bytes(HeartbeatCodec.write(HeartbeatCodec.read(n)))));
    }
    for (JsonNode n : of(file, "answer /peer/beat")) {
      assertEquals(
          n,
          Json.parse(
              Json.bytes(HeartbeatAnswerCodec.write(HeartbeatAnswerCodec.read(n).orElse(null)))));
    }
    for (JsonNode n : of(file, "ask /peer/ask")) {
      List<JobId> ids = StatusQueryCodec.readQuery(n).jobs();
      assertFalse(ids.isEmpty());
      assertEquals(
          n,
          Json.parse(
              Json.bytes(StatusQueryCodec.writeQuery(StatusQueryCodec.readQuery(n).shard(), ids))));
    }
    for (JsonNode n : of(file, "answer /peer/ask")) {
      assertEquals(n.path("told").size(), StatusQueryCodec.readAnswer(n).size());
    }
    for (JsonNode n : of(file, "ask /peer/relay")) {
      assertFalse(ForwardedRequestCodec.read(n).method().isEmpty());
      assertFalse(ForwardedRequestCodec.read(n).path().isEmpty());
    }
  }

  /** A message with a number or name missing or out of range is refused as a whole. */
  @Test
  void damagedMessagesAreRejected() throws Exception {
    ObjectNode heartbeat =
        of(WITHOUT_DEPENDENCIES, "ask /peer/beat").stream()
            .filter(n -> !n.path("parts").isEmpty())
            .findFirst()
            .orElseThrow()
            .deepCopy();
    for (String field : List.of("part", "epoch", "fenced", "expected", "unheard")) {
      for (JsonNode value :
          List.of(IntNode.valueOf(-1), TextNode.valueOf("x"), NullNode.instance)) {
        ObjectNode n = heartbeat.deepCopy();
        ((ObjectNode) n.path("parts").path(0)).set(field, value);
        assertThrows(
            MalformedMessageException.class, () -> HeartbeatCodec.read(n), field + " " + value);
      }
    }
    ObjectNode answer =
        of(WITHOUT_DEPENDENCIES, "answer /peer/beat").stream()
            .filter(n -> !n.path("leases").isEmpty())
            .findFirst()
            .orElseThrow()
            .deepCopy();
    for (String list : List.of("leases", "owners")) {
      for (String field : List.of("part", "epoch")) {
        ObjectNode n = answer.deepCopy();
        ((ObjectNode) n.path(list).path(0)).remove(field);
        assertNull(HeartbeatAnswerCodec.read(n).orElse(null), list + " " + field);
        ((ObjectNode) n.path(list).path(0)).put(field, Long.MAX_VALUE);
        assertNull(HeartbeatAnswerCodec.read(n).orElse(null), list + " " + field);
      }
    }
    ObjectNode confirmed = of(WITH_DEPENDENCIES, "answer /peer/confirmed").get(0).deepCopy();
    confirmed.putArray("owners").addObject().put("part", 0).put("label", "").put("epoch", 9);
    assertNull(
        CancellationCodec.read(confirmed, CancellationMessages.DEFAULT_MAX_CANCELLATIONS)
            .orElse(null));
  }

  /** Since b9fa1f3 the answer also names owners; what it held before is the same. */
  @Test
  void cancellationAnswersKeepTheirEarlierFields() throws Exception {
    for (JsonNode n : of(WITH_DEPENDENCIES, "ask /peer/confirmed")) {
      long within = CancellationCodec.readQuery(n).withinMs();
      assertEquals(
          n,
          Json.parse(
              Json.bytes(
                  CancellationCodec.writeQuery(
                      within, CancellationMessages.DEFAULT_MAX_CANCELLATIONS))));
    }
    for (JsonNode n : of(WITH_DEPENDENCIES, "answer /peer/confirmed")) {
      ObjectNode ours =
          CancellationCodec.write(
              CancellationCodec.read(n, CancellationMessages.DEFAULT_MAX_CANCELLATIONS)
                  .orElse(null));
      assertTrue(ours.remove("owners").isEmpty());
      assertEquals(n, Json.parse(Json.bytes(ours)));
    }
  }

  /** The shortest form says the same, however scattered the ends of tasks are. */
  @Test
  void compactFormReadsAsWrittenAndIsSmaller() throws Exception {
    for (JsonNode n : of(WITHOUT_DEPENDENCIES, "key j/ packed")) {
      JobRecord r = JobRecord.read(n);
      BitSet done = new BitSet();
      for (int i = 0; i < r.spec().tasks(); i += 2) {
        done.set(i);
      }
      JobRecord scattered =
          new JobRecord(
              r.spec(),
              r.epoch(),
              r.writer(),
              r.sequence(),
              done,
              r.live(),
              r.attemptCount(),
              true,
              7,
              0);
      ObjectNode compact = scattered.writeCompact();
      assertEquals(scattered, JobRecord.read(Json.parse(Json.bytes(compact))));
      assertTrue(Json.bytes(compact).length < Json.bytes(scattered.write()).length);
      assertTrue(JobRecord.isMarkedCancelled(compact));
    }
  }

  @Test
  void dependenciesReadAsWritten() throws Exception {
    ObjectNode spec = (ObjectNode) of(WITHOUT_DEPENDENCIES, "key j/").get(0).path("s").deepCopy();
    spec.putArray("prereqs").add("wk-7").add("wk-8").add("wk-7");
    JobSpec s = JobSpecCodec.read(spec);
    assertEquals(List.of(new JobId("wk-7"), new JobId("wk-8")), s.dependencies());
    assertEquals(s, JobSpecCodec.read(Json.parse(Json.bytes(JobSpecCodec.write(s)))));
  }
}
