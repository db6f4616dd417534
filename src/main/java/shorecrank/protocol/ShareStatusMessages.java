package shorecrank.protocol;

import java.util.List;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.ShareStateMessages.Move;
import shorecrank.protocol.ShareStateMessages.TeamShare;

/** What operators are shown of shares and moves. */
public final class ShareStatusMessages {
  private ShareStatusMessages() {}

  /**
   * A shard as the leader sees it; amounts are processors.
   *
   * @param machines the number of its machines
   * @param target the processors that it should have
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
   * A move under way.
   *
   * @param ageS seconds since it began
   * @param waitsFor what is in its way
   */
  public record MoveStatus(Move move, double ageS, String waitsFor) {}

  /**
   * All that an operator is told.
   *
   * @param movesAllowed whether the leader begins moves by itself
   * @param reason why it does not; else empty
   * @param medianMs median duration of the moves that are done, in milliseconds
   * @param p99Ms 99th percentile of that, in milliseconds
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
