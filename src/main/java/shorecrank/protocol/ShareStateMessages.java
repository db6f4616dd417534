package shorecrank.protocol;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.ShardId;

/** Teams' shares and the moves of machines between shards, as the state service stores them. */
public final class ShareStateMessages {
  /** The key of the state service that holds the {@link SharesState}. */
  public static final String KEY = "shares";

  private ShareStateMessages() {}

  /** The phase of a move. */
  public enum MovePhase {
    /** The move is stored, but the old shard's owner may not know of it yet. */
    REQUESTED,
    /** The old shard's owner no longer places tasks on the machine. */
    DRAINING,
    /**
     * The machine is assigned to the new shard, whose owner has not received a heartbeat from it
     * yet.
     */
    HANDED_OVER,
    /** The new shard's owner receives the machine's heartbeats. */
    DONE,
    /** The move has ended without the machine's arrival; {@link Move#reason} says why. */
    ABORTED;

    /** Returns the phase's name in the state service and for operators. */
    public String wireName() {
      return name().toLowerCase(Locale.ROOT);
    }

    /** Reports whether the move has ended. */
    public boolean isEnd() {
      return this == DONE || this == ABORTED;
    }
  }

  /**
   * A move of a machine from one shard to another.
   *
   * @param assignmentEpoch the epoch of the machine's assignment when the move began; a changed
   *     epoch shows that the machine has been reassigned since
   * @param order the id of the operator's order that requested the move; empty if demand did
   * @param beganMs when the move was stored, in milliseconds since 1970
   * @param reason why the move was aborted; empty if it was not
   */
  public record Move(
      MoveId id,
      MachineName machine,
      ShardId from,
      ShardId to,
      Epoch assignmentEpoch,
      MovePhase phase,
      String order,
      long beganMs,
      String reason) {

    /** Returns this move in another phase. */
    public Move withPhase(MovePhase newPhase) {
      return new Move(id, machine, from, to, assignmentEpoch, newPhase, order, beganMs, reason);
    }

    /** Returns this move in the phase {@link MovePhase#ABORTED}. */
    public Move aborted(String abortReason) {
      return new Move(
          id, machine, from, to, assignmentEpoch, MovePhase.ABORTED, order, beganMs, abortReason);
    }
  }

  /**
   * A team's share as an operator has set it; it replaces the share in the settings file.
   *
   * @param weight the team's weight when processors that do not suffice for all teams are divided
   * @param minCpus the team's part of its shard's minimum, in processors
   * @param maxCpus the team's part of its shard's maximum, in processors; 0 for no maximum
   */
  public record TeamShare(String team, double weight, double minCpus, double maxCpus) {}

  /**
   * The outcome of an operator's order.
   *
   * @param contentDigest a digest of the order: another order with the same id is refused
   * @param text the outcome for operators, one line
   * @param moves the moves that the order began or concerns
   */
  public record ShareOutcome(
      String id, String contentDigest, boolean accepted, String text, List<MoveId> moves) {}

  /**
   * The value of {@link #KEY}.
   *
   * @param shards the number of shards in force when jobs and machines were assigned; 0 if unknown
   * @param nextMove the id of the next move; no id is used twice
   * @param active moves that are under way
   * @param ended the moves that ended last, the oldest first
   * @param teams the shares that operators have set
   * @param recentOrders the outcomes of the latest orders, the oldest first
   */
  public record SharesState(
      int shards,
      long nextMove,
      List<Move> active,
      List<Move> ended,
      List<TeamShare> teams,
      List<ShareOutcome> recentOrders) {
    /** The state before the state service first holds {@link #KEY}. */
    public static final SharesState INITIAL =
        new SharesState(0, 1, List.of(), List.of(), List.of(), List.of());

    /** Returns the active move of a machine; null if there is none. */
    public Move activeMoveOf(MachineName machine) {
      for (Move move : active) {
        if (move.machine.equals(machine)) {
          return move;
        }
      }
      return null;
    }

    /** Returns this state with other active moves. */
    public SharesState withActiveMoves(List<Move> activeMoves) {
      return new SharesState(
          shards, nextMove, List.copyOf(activeMoves), ended, teams, recentOrders);
    }

    /** Returns this state with another number of shards. */
    public SharesState withShards(int shardCount) {
      return new SharesState(shardCount, nextMove, active, ended, teams, recentOrders);
    }

    /**
     * Returns this state with additional active moves, whose ids must follow each other from {@code
     * nextMove}.
     */
    public SharesState withNewMoves(List<Move> newMoves) {
      List<Move> all = new ArrayList<>(active);
      all.addAll(newMoves);
      long next = nextMove + newMoves.size();
      return new SharesState(shards, next, List.copyOf(all), ended, teams, recentOrders);
    }

    /**
     * Returns this state with the active move that has the same id as {@code changed} replaced by
     * it. If {@code changed} has ended, it is added to the ended moves instead.
     *
     * @param maxEnded how many ended moves are kept
     */
    public SharesState withUpdatedMove(Move changed, int maxEnded) {
      List<Move> moves = new ArrayList<>(active);
      moves.replaceAll(move -> move.id.equals(changed.id) ? changed : move);
      moves.removeIf(move -> move.phase.isEnd());
      List<Move> nowEnded = new ArrayList<>(ended);
      if (changed.phase.isEnd()) {
        nowEnded.add(changed);
      }
      return new SharesState(
          shards, nextMove, List.copyOf(moves), latest(nowEnded, maxEnded), teams, recentOrders);
    }

    /** Returns this state with one more outcome; only the latest {@code maxOutcomes} are kept. */
    public SharesState withOutcome(ShareOutcome outcome, int maxOutcomes) {
      List<ShareOutcome> all = new ArrayList<>(recentOrders);
      all.add(outcome);
      return new SharesState(shards, nextMove, active, ended, teams, latest(all, maxOutcomes));
    }

    /** Returns this state with a team's share set or replaced. */
    public SharesState withTeamShare(TeamShare share) {
      List<TeamShare> all = new ArrayList<>(teams);
      all.removeIf(other -> other.team.equals(share.team));
      all.add(share);
      return new SharesState(shards, nextMove, active, ended, List.copyOf(all), recentOrders);
    }

    /** Returns the last {@code max} elements of a list, or all if it has fewer. */
    public static <T> List<T> latest(List<T> list, int max) {
      return List.copyOf(list.subList(Math.max(0, list.size() - max), list.size()));
    }
  }
}
