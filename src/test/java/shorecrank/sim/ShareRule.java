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
 * The design's claims about moves of machines between shards: no id of a move is used again, no
 * move goes back a step, and an assignment changes only together with the move that hands the
 * machine over and was written down before.
 */
final class ShareRule extends Rule {
  /** Machines whose only assignment so far was carried out late. */
  private final Set<String> neverTold = new HashSet<>();

  private int storeOperations;

  ShareRule(World world, Checker checker) {
    super(world, checker);
  }

  /** Changes of the state service in transactions that change moves. */
  int storeOperations() {
    return storeOperations;
  }

  @Override
  void beforeTransaction(JsonNode operations) {
    // Below the level an earlier version may lead, which writes assignments without moves.
    boolean inForce = world().rollouts.state().level().includes(Feature.SHARES.level());
    if (!world().shares.isEnabled() || !inForce) {
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
      boolean same = earlier != null && earlier.id().equals(move.id());
      if (!same && move.id().value() < before.nextMove()) {
        report("move_id_reused: " + move.id());
      }
      if (same && move.phase().compareTo(earlier.phase()) < 0) {
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
    boolean known = assigned.values().stream().anyMatch(names -> names.contains(name));
    boolean isLate = world().store.lateByMs() > 0;
    if (!known && isLate) {
      // First written by a write whose sender has no answer: it has told nobody.
      neverTold.add(name);
    }
    if (neverTold.contains(name)) {
      if (!isLate) {
        neverTold.remove(name);
      }
      return;
    }
    assigned.forEach(
        (former, names) -> {
          if (former != shard
              && names.contains(name)
              && !isHandedOver(new MachineName(name), former, shard, before, after)) {
            report("moved_unwritten: %s from %d to %d".formatted(name, former, shard));
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
