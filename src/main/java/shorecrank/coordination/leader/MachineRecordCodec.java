package shorecrank.coordination.leader;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.Optional;
import java.util.function.Consumer;
import shorecrank.protocol.HeartbeatMessages.MachineInfo;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Json;
import shorecrank.protocol.StoreMessages.Transaction;

/** Encodes and decodes machines and their assignments for the state service, many to a value. */
final class MachineRecordCodec {
  private static final String MACHINES = "m";

  /** The positions of one machine's fields in its array. */
  private static final int NAME = 0;

  private static final int TYPE = 1;
  private static final int ZONE = 2;
  private static final int SPOT = 3;
  private static final int SHARD = 4;
  private static final int EPOCH = 5;

  private MachineRecordCodec() {}

  /**
   * One encoded machine.
   *
   * @param bytes the size of its JSON text, in bytes
   */
  record EncodedMachine(ArrayNode fields, int bytes) {}

  /** A value of the state service to which encoded machines are added. */
  static final class EncodedValue {
    private final ArrayNode machines = Json.array();

    boolean isEmpty() {
      return machines.isEmpty();
    }

    /** Adds a machine at the end. */
    void add(EncodedMachine machine) {
      machines.add(machine.fields());
    }

    /** Adds the write of this value to a transaction, guarded by the key's last revision. */
    void addTo(Transaction transaction, String key, Revision last) {
      transaction.guard(key, last).write(key, Json.object().set(MACHINES, machines));
    }
  }

  /** Encodes a machine's assignment. */
  static EncodedMachine encode(StoredAssignment assignment) {
    MachineInfo machine = assignment.machine();
    ArrayNode fields =
        Json.array()
            .add(machine.name().value())
            .add(machine.type())
            .add(machine.zone())
            .add(machine.spot())
            .add(assignment.shard().value())
            .add(assignment.epoch().value());
    return new EncodedMachine(fields, Json.bytes(fields).length);
  }

  /**
   * Calls an action for each machine of a value, in order.
   *
   * @param shards the number of shards of the fleet; machines of higher shards are malformed
   * @param action receives each assignment; empty for a malformed one
   */
  static void readEach(JsonNode value, int shards, Consumer<Optional<StoredAssignment>> action) {
    for (JsonNode fields : value.path(MACHINES)) {
      action.accept(read(fields, shards));
    }
  }

  private static Optional<StoredAssignment> read(JsonNode fields, int shards) {
    String name = Json.text(fields.path(NAME));
    long shard = Json.countOrMinusOne(fields.path(SHARD));
    long epoch = Json.countOrMinusOne(fields.path(EPOCH));
    if (name.isEmpty() || shard < 0 || shard >= shards || epoch < 0) {
      return Optional.empty();
    }
    MachineInfo machine =
        new MachineInfo(
            new MachineName(name),
            Json.text(fields.path(TYPE)),
            Json.text(fields.path(ZONE)),
            fields.path(SPOT).asBoolean());
    return Optional.of(new StoredAssignment(machine, new ShardId((int) shard), new Epoch(epoch)));
  }
}
