package shorecrank.coordination.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import shorecrank.protocol.HeartbeatMessages.MachineInfo;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Json;
import shorecrank.protocol.StoreMessages.Transaction;

/** Tests that a bucket's machines are split into values below the size limit. */
class BucketValuesTest {
  private static final int BUCKET = 7;

  private static List<StoredAssignment> machines(int count) {
    List<StoredAssignment> machines = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      MachineInfo machine = new MachineInfo(new MachineName("m" + i), "big", "zone-a", false);
      machines.add(new StoredAssignment(machine, new ShardId(1), new Epoch(12)));
    }
    return machines;
  }

  /** Returns the written values by key. */
  private static Map<String, JsonNode> written(BucketValues values) {
    Transaction transaction = new Transaction();
    values.byKey().forEach((key, value) -> value.addTo(transaction, key, Revision.ABSENT));
    Map<String, JsonNode> byKey = new TreeMap<>();
    for (JsonNode write : transaction.body().path("apply")) {
      byKey.put(write.path("write").asText(), write.path("data"));
    }
    return byKey;
  }

  @Test
  void splitsMachinesIntoValuesBelowSizeLimit() {
    Map<String, JsonNode> byKey = written(BucketValues.of(BUCKET, machines(100), List.of(), 1));

    assertEquals(Set.of("hosts/7", "hosts/7.1", "hosts/7.2", "hosts/7.3"), byKey.keySet());
    int machines = 0;
    for (JsonNode value : byKey.values()) {
      assertTrue(Json.bytes(value).length <= 1024);
      machines += value.path("m").size();
    }
    assertEquals(100, machines);
  }

  @Test
  void writesEmptyValueToKeyNoLongerNeeded() {
    List<String> knownKeys = List.of("hosts/7", "hosts/7.1", "hosts/70", "hosts/70.1");
    Map<String, JsonNode> byKey = written(BucketValues.of(BUCKET, machines(1), knownKeys, 1));

    assertEquals(Set.of("hosts/7", "hosts/7.1"), byKey.keySet());
    assertEquals(
        "{\"m\":[[\"m0\",\"big\",\"zone-a\",false,1,12]]}", byKey.get("hosts/7").toString());
    assertEquals("{\"m\":[]}", byKey.get("hosts/7.1").toString());
  }
}
