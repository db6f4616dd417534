package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.ShareStateCodec;
import shorecrank.protocol.ShareStateMessages;
import shorecrank.protocol.ShareStateMessages.Move;
import shorecrank.protocol.ShareStateMessages.MovePhase;
import shorecrank.protocol.ShareStateMessages.SharesState;
import shorecrank.rollout.Feature;

/**
 * Checks moves of machines between shards: the id of a move is never used again, a move never
 * returns to an earlier phase, and the assignment of a machine changes only in the transaction that
 * marks its move as handed over, where the move was recorded before.
 */
final class ShareRule extends Rule {
  /** Machines whose only assignment so far was written by a transaction that was applied late. */
  private final Set<String> unannouncedMachines = new HashSet<>();

  private int storeOperations;

  ShareRule(World world, Checker checker) {
    super(world, checker);
  }

  /** Returns the number of operations in transactions that change moves. */
  int storeOperations() {
    return storeOperations;
  }

  @Override
  void beforeTransaction(JsonNode operations) {
    // Below the feature level of shares, the leader may be of an earlier version, which writes
    // assignments without moves.
    boolean isLevelInForce = world().rollouts.state().level().includes(Feature.SHARES.level());
    if (!world().shares.isEnabled() || !isLevelInForce) {
      return;
    }
    SharesState before = world().shares.state();
    SharesState after = before;
    for (JsonNode operation : operations) {
      if (operation.path("write").asText().equals(ShareStateMessages.KEY)) {
        storeOperations += operations.size();
        after = ShareStateCodec.read(operation.path("data")).orElse(null);
      }
    }
    if (after == null) {
      report("shares_unreadable: written by a controller");
      return;
    }
    checkMoves(before, after);
    Map<Integer, List<String>> assigned = world().shares.machinesByShard();
    for (JsonNode operation : operations) {
      if (operation.path("write").asText().startsWith(Shares.ASSIGNMENT_PREFIX)) {
        for (JsonNode machine : operation.path("data").path("m")) {
          String name = machine.path(Shares.NAME_INDEX).asText();
          checkAssignment(name, machine.path(Shares.SHARD_INDEX).asInt(), assigned, before, after);
        }
      }
    }
  }

  private void checkMoves(SharesState before, SharesState after) {
    for (Move move : after.active()) {
      Move earlier = before.activeMoveOf(move.machine());
      boolean isSameMove = earlier != null && earlier.id().equals(move.id());
      if (!isSameMove && move.id().value() < before.nextMove()) {
        report("move_id_reused: " + move.id());
      }
      if (isSameMove && move.phase().compareTo(earlier.phase()) < 0) {
        report("move_went_back: %s to %s".formatted(move.id(), move.phase()));
      }
    }
  }

  private void checkAssignment(
      String name,
      int shard,
      Map<Integer, List<String>> assigned,
      SharesState before,
      SharesState after) {
    boolean isAssigned = assigned.values().stream().anyMatch(names -> names.contains(name));
    boolean isLate = world().store.lateByMs() > 0;
    if (!isAssigned && isLate) {
      // The sender of a late transaction got no answer, so it has announced this first assignment
      // to no shard owner, and the machine may still be assigned to another shard without a move.
      unannouncedMachines.add(name);
    }
    if (unannouncedMachines.contains(name)) {
      if (!isLate) {
        unannouncedMachines.remove(name);
      }
      return;
    }
    assigned.forEach(
        (formerShard, names) -> {
          if (formerShard != shard
              && names.contains(name)
              && !isHandedOver(new MachineName(name), formerShard, shard, before, after)) {
            report("moved_unwritten: %s from %d to %d".formatted(name, formerShard, shard));
          }
        });
  }

  private static boolean isHandedOver(
      MachineName machine, int from, int to, SharesState before, SharesState after) {
    Move move = after.activeMoveOf(machine);
    Move earlier = before.activeMoveOf(machine);
    return move != null
        && earlier != null
        && move.phase() == MovePhase.HANDED_OVER
        && earlier.phase() != MovePhase.HANDED_OVER
        && move.from().value() == from
        && move.to().value() == to;
  }
}
