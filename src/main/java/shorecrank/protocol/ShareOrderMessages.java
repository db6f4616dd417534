package shorecrank.protocol;

import java.util.List;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.ShardId;

/** Operators' orders on teams' shares and on moves of machines between shards. */
public final class ShareOrderMessages {
  private ShareOrderMessages() {}

  /** An operator's order. */
  public sealed interface ShareOrder permits SetShare, MoveMachines, AbortMoves {
    /**
     * Returns the order's idempotency key: of several orders with the same id only the first is
     * carried out.
     */
    String id();

    /** Reports whether the operator only wants to see what the order would do. */
    boolean dryRun();
  }

  /**
   * An order that sets a team's share; a value that is null stays unchanged.
   *
   * @param weight the team's weight when processors that do not suffice for all teams are divided
   * @param minCpus the team's part of its shard's minimum, in processors
   * @param maxCpus the team's part of its shard's maximum, in processors; 0 for no maximum
   */
  public record SetShare(
      String id, boolean dryRun, String team, Double weight, Double minCpus, Double maxCpus)
      implements ShareOrder {}

  /**
   * An order that moves machines to a shard, either named ones or a number of another shard's
   * machines.
   *
   * @param machines the machines' names; empty if a number is given
   * @param from the shard that gives up the machines; null if they are named
   * @param count the number of machines; 0 if they are named
   * @param to the shard that gets the machines
   */
  public record MoveMachines(
      String id, boolean dryRun, List<MachineName> machines, ShardId from, int count, ShardId to)
      implements ShareOrder {}

  /**
   * An order that aborts one move, all moves of an earlier order, or all moves under way.
   *
   * @param move the move; {@link MoveId#NONE} if none is named
   * @param order the id of the order whose moves are aborted; empty if none is named
   * @param all whether to abort all moves under way
   */
  public record AbortMoves(String id, boolean dryRun, MoveId move, String order, boolean all)
      implements ShareOrder {}
}
