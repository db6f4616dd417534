package shorecrank.coordination.leader;

import com.fasterxml.jackson.databind.JsonNode;
import shorecrank.protocol.HeartbeatMessages.OwnerInfo;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.Json;

/** The record of a shard's owner as the state service holds it, in a key for each shard. */
public final class ShardOwnerCodec {
  /** The keys of the records begin with this. */
  public static final String PREFIX = "part/";

  private static final String SHARD = "part";
  private static final String OWNER = "label";
  private static final String WRITER = "writer";
  private static final String EPOCH = "epoch";

  private ShardOwnerCodec() {}

  /** The key of a shard's record. */
  static String key(ShardId shard) {
    return PREFIX + shard;
  }

  /** The record of a shard's owner. */
  static JsonNode write(OwnerInfo owner, WriterId writer) {
    return Json.object()
        .put(SHARD, owner.shard().value())
        .put(OWNER, owner.controller().value())
        .put(WRITER, writer.value())
        .put(EPOCH, owner.epoch().value());
  }

  /** The shard, its owner and the owner's epoch; the shard is negative if it can't be read. */
  public static OwnerInfo read(JsonNode value) {
    return new OwnerInfo(
        new ShardId((int) Json.count(value.path(SHARD))),
        new ControllerName(Json.text(value.path(OWNER))),
        new Epoch(value.path(EPOCH).asLong()));
  }

  /** The owner's process. */
  static WriterId readWriter(JsonNode value) {
    return new WriterId(Json.text(value.path(WRITER)));
  }
}
