package shorecrank.protocol;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.ShardId;

/** Shards' shares and the moves of machines between them, as the state service keeps them. */
public final class ShareStateMessages {
  /** The key that holds the {@link SharesState}. */
  public static final String KEY = "shares";

  private ShareStateMessages() {}

  /** How far a move is. */
  public enum MovePhase {
    /** Written down; the owner may not know of it yet. */
    REQUESTED,
    /** The owner places nothing on the machine any more. */
    DRAINING,
    /** Assigned to the other shard, whose owner has not heard the machine yet. */
    HANDED_OVER,
    /** The other owner hears the machine. */
    DONE,
    /** Ended before that; the reason says why. */
    ABORTED;

    /** The name in the state service and for operators. */
    public String wireName() {
      return name().toLowerCase(Locale.ROOT);
    }

    /** Whether nothing more happens to the move. */
    public boolean isEnd() {
      return this == DONE || this == ABORTED;
    }
  }

  /**
   * The passage of a machine from one shard to another.
   *
   * @param assignmentEpoch the epoch of the machine's assignment when the move began: its fencing
   *     token
   * @param order the operator's order that asked for it; empty if demand did
   * @param beganMs the time of day at which it was written down, in milliseconds
   * @param reason why it ended, if it was aborted; else empty
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

    /** This move in another phase. */
    public Move withPhase(MovePhase newPhase) {
      return new Move(id, machine, from, to, assignmentEpoch, newPhase, order, beganMs, reason);
    }

    /** This move, ended before its machine was handed over, or heard. */
    public Move aborted(String abortReason) {
      return new Move(
          id, machine, from, to, assignmentEpoch, MovePhase.ABORTED, order, beganMs, abortReason);
    }
  }

  /**
   * A team's share as an operator sets it; it replaces that of the settings file.
   *
   * @param weight of its need beside others'
   * @param minCpus processors that its shard keeps
   * @param maxCpus processors that its shard gets at the most; 0 for no bound
   */
  public record TeamShare(String team, double weight, double minCpus, double maxCpus) {}

  /**
   * What became of an order.
   *
   * @param contentDigest a digest of what was ordered: the same id with other content is refused
   * @param text the outcome for operators, one line
   * @param moves the moves that the order began, or is about
   */
  public record ShareOutcome(
      String id, String contentDigest, boolean accepted, String text, List<MoveId> moves) {}

  /**
   * The value of {@link #KEY}.
   *
   * @param shards the number of shards by which jobs and machines were assigned; 0 if not known
   * @param nextMove the number of the next move; none is used twice
   * @param active moves that are under way
   * @param ended the latest that ended, the oldest first
   * @param recentOrders outcomes of the latest orders, the oldest first
   */
  public record SharesState(
      int shards,
      long nextMove,
      List<Move> active,
      List<Move> ended,
      List<TeamShare> teams,
      List<ShareOutcome> recentOrders) {
    /** The state of a store that has never held the key. */
    public static final SharesState INITIAL =
        new SharesState(0, 1, List.of(), List.of(), List.of(), List.of());

    /** The active move of a machine; null if there is none. */
    public Move activeMoveOf(MachineName machine) {
      for (Move move : active) {
        if (move.machine.equals(machine)) {
          return move;
        }
      }
      return null;
    }

    /** The same with other moves under way. */
    public SharesState withActiveMoves(List<Move> activeMoves) {
      return new SharesState(
          shards, nextMove, List.copyOf(activeMoves), ended, teams, recentOrders);
    }

    /** The same of a fleet with so many shards. */
    public SharesState withShards(int shardCount) {
      return new SharesState(shardCount, nextMove, active, ended, teams, recentOrders);
    }

    /** The same with moves that begin; their numbers follow each other from the next. */
    public SharesState withNewMoves(List<Move> newMoves) {
      List<Move> all = new ArrayList<>(active);
      all.addAll(newMoves);
      long next = nextMove + newMoves.size();
      return new SharesState(shards, next, List.copyOf(all), ended, teams, recentOrders);
    }

    /**
     * The same with a move in another phase.
     *
     * @param maxEnded how many of the moves that ended are kept
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

    /** The same with one more outcome, of which the latest {@code maxOutcomes} are kept. */
    public SharesState withOutcome(ShareOutcome outcome, int maxOutcomes) {
      List<ShareOutcome> all = new ArrayList<>(recentOrders);
      all.add(outcome);
      return new SharesState(shards, nextMove, active, ended, teams, latest(all, maxOutcomes));
    }

    /** The same with a team's share as an operator wants it. */
    public SharesState withTeamShare(TeamShare share) {
      List<TeamShare> all = new ArrayList<>(teams);
      all.removeIf(other -> other.team.equals(share.team));
      all.add(share);
      return new SharesState(shards, nextMove, active, ended, List.copyOf(all), recentOrders);
    }

    /** The last {@code max} of a list. */
    public static <T> List<T> latest(List<T> list, int max) {
      return List.copyOf(list.subList(Math.max(0, list.size() - max), list.size()));
    }
  }
}
