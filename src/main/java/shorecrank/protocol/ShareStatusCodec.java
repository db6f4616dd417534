package shorecrank.protocol;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import shorecrank.protocol.ShareStateMessages.Move;
import shorecrank.protocol.ShareStatusMessages.MoveStatus;
import shorecrank.protocol.ShareStatusMessages.ShardStatus;
import shorecrank.protocol.ShareStatusMessages.SharesStatus;

/** Encodes the status of shares and moves for operators as JSON. */
public final class ShareStatusCodec {
  private static final String MOVES_ALLOWED = "moving";
  private static final String REASON = "reason";
  private static final String MEDIAN_MS = "medianMs";
  private static final String P99_MS = "p99Ms";

  private static final String SHARDS = "shards";
  private static final String SHARD = "shard";
  private static final String OWNER = "owner";
  private static final String MACHINES = "machines";
  private static final String CPUS = "cpus";
  private static final String TARGET = "target";
  private static final String RUNNING = "running";
  private static final String WAITING = "waiting";

  private static final String MOVE_ID = "id";
  private static final String MACHINE = "machine";
  private static final String FROM = "from";
  private static final String TO = "to";
  private static final String PHASE = "phase";
  private static final String ORDER = "order";
  private static final String BEGAN_MS = "beganMs";
  private static final String AGE_S = "ageS";
  private static final String WAITS_FOR = "waitsFor";

  private ShareStatusCodec() {}

  /** Writes the status as JSON. */
  public static ObjectNode write(SharesStatus status) {
    ObjectNode message = Json.object();
    message.put(MOVES_ALLOWED, status.movesAllowed()).put(REASON, status.reason());
    ArrayNode shards = message.putArray(SHARDS);
    for (ShardStatus shard : status.shards()) {
      putShard(shards.addObject(), shard);
    }
    ArrayNode moves = message.putArray(ShareStateCodec.MOVES);
    for (MoveStatus move : status.active()) {
      moves.add(writeMove(move.move()).put(AGE_S, move.ageS()).put(WAITS_FOR, move.waitsFor()));
    }
    ArrayNode ended = message.putArray(ShareStateCodec.ENDED);
    status.ended().forEach(move -> ended.add(writeMove(move)));
    ArrayNode teams = message.putArray(ShareStateCodec.TEAMS);
    status.teams().forEach(share -> teams.add(ShareStateCodec.writeTeamShare(share)));
    return message.put(MEDIAN_MS, status.medianMs()).put(P99_MS, status.p99Ms());
  }

  private static void putShard(ObjectNode object, ShardStatus shard) {
    object.put(SHARD, shard.shard().value()).put(OWNER, shard.owner());
    object.put(MACHINES, shard.machines()).put(CPUS, shard.cpus()).put(TARGET, shard.target());
    object.put(RUNNING, shard.running()).put(WAITING, shard.waiting());
    ArrayNode teams = object.putArray(ShareStateCodec.TEAMS);
    shard.teams().forEach(teams::add);
  }

  private static ObjectNode writeMove(Move move) {
    ObjectNode object = Json.object();
    object.put(MOVE_ID, move.id().value()).put(MACHINE, move.machine().value());
    object.put(FROM, move.from().value()).put(TO, move.to().value());
    object.put(PHASE, move.phase().wireName()).put(ORDER, move.order());
    return object.put(BEGAN_MS, move.beganMs()).put(REASON, move.reason());
  }
}
