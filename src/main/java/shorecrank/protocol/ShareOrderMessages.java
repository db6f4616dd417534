package shorecrank.protocol;

import java.util.List;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.ShardId;

/** Operators' orders on shares and moves. */
public final class ShareOrderMessages {
  private ShareOrderMessages() {}

  /** What an operator asks for. */
  public sealed interface ShareOrder permits SetShare, MoveMachines, AbortMoves {
    /** The order's id: under one id an order is carried out once. */
    String id();

    /** Whether only the plan is asked for. */
    boolean dryRun();
  }

  /** Sets a team's share, in processors and weight; what is null stays as it is. */
  public record SetShare(
      String id, boolean dryRun, String team, Double weight, Double minCpus, Double maxCpus)
      implements ShareOrder {}

  /**
   * Moves machines to a shard: those named, or so many of another shard.
   *
   * @param machines the machines named; empty if a number is given
   * @param from the shard that gives them; null if machines are named
   * @param count how many; 0 if machines are named
   */
  public record MoveMachines(
      String id, boolean dryRun, List<MachineName> machines, ShardId from, int count, ShardId to)
      implements ShareOrder {}

  /**
   * Aborts a move, all of an order, or all that are under way.
   *
   * @param move the move; {@link MoveId#NONE} if none is named
   * @param order the order whose moves are aborted; empty if none is named
   */
  public record AbortMoves(String id, boolean dryRun, MoveId move, String order, boolean all)
      implements ShareOrder {}
}
