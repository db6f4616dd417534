package shorecrank.coordination.leader;

import com.fasterxml.jackson.databind.JsonNode;
import shorecrank.protocol.HeartbeatMessages.OwnerInfo;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.Json;

/** Encodes and decodes the records of shard owners for the state service, one key per shard. */
public final class ShardOwnerCodec {
  /** The prefix of the keys of all shard owners. */
  public static final String PREFIX = "part/";

  private static final String SHARD = "part";
  private static final String OWNER = "label";
  private static final String WRITER = "writer";
  private static final String EPOCH = "epoch";

  private ShardOwnerCodec() {}

  /** Returns the key of a shard's owner. */
  static String key(ShardId shard) {
    return PREFIX + shard;
  }

  /** Encodes a shard's owner. */
  static JsonNode write(OwnerInfo owner, WriterId writer) {
    return Json.object()
        .put(SHARD, owner.shard().value())
        .put(OWNER, owner.controller().value())
        .put(WRITER, writer.value())
        .put(EPOCH, owner.epoch().value());
  }

  /** Decodes a shard's owner; the shard's number is negative if the value is malformed. */
  public static OwnerInfo read(JsonNode value) {
    return new OwnerInfo(
        new ShardId((int) Json.countOrMinusOne(value.path(SHARD))),
        new ControllerName(Json.text(value.path(OWNER))),
        new Epoch(value.path(EPOCH).asLong()));
  }

  /** Returns the process of the owner in a value. */
  static WriterId readWriter(JsonNode value) {
    return new WriterId(Json.text(value.path(WRITER)));
  }
}
