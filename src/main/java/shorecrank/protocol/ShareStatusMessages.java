package shorecrank.protocol;

import java.util.List;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.ShareStateMessages.Move;
import shorecrank.protocol.ShareStateMessages.TeamShare;

/** The status of shares and moves for operators. */
public final class ShareStatusMessages {
  private ShareStatusMessages() {}

  /**
   * A shard as the leader sees it.
   *
   * @param owner the name of the controller that owns it; empty if the shard has no owner
   * @param machines number of its machines
   * @param cpus processors of its machines
   * @param target processors that it should have
   * @param running processors that its tasks use
   * @param waiting processors that its queued tasks need
   * @param teams the teams that belong to the shard
   */
  public record ShardStatus(
      ShardId shard,
      String owner,
      int machines,
      double cpus,
      double target,
      double running,
      double waiting,
      List<String> teams) {}

  /**
   * A move that is under way.
   *
   * @param ageS seconds since the move began
   * @param waitsFor a text for operators that says what the move waits for
   */
  public record MoveStatus(Move move, double ageS, String waitsFor) {}

  /**
   * The status of all shards, moves and teams' shares.
   *
   * @param movesAllowed whether moves may begin now
   * @param reason why moves may not begin; empty if they may
   * @param active moves that are under way
   * @param ended the moves that ended last, the oldest first
   * @param teams the teams' shares in force
   * @param medianMs median duration of the completed moves, in milliseconds
   * @param p99Ms 99th percentile of the durations of the completed moves, in milliseconds
   */
  public record SharesStatus(
      boolean movesAllowed,
      String reason,
      List<ShardStatus> shards,
      List<MoveStatus> active,
      List<Move> ended,
      List<TeamShare> teams,
      long medianMs,
      long p99Ms) {}
}
