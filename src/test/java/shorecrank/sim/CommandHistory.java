package shorecrank.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What was written of shards and machines, and which starts workers carried out, in the order in
 * which it happened. A start may only come from the owner of the shard that the machine was
 * assigned to at that moment, and never under an epoch below one that the machine has obeyed.
 */
final class CommandHistory {
  private static final int TOKEN_BITS = 24;

  private final Map<Long, Integer> shardOfEpoch = new HashMap<>();
  private final Map<String, Integer> shardOfMachine = new HashMap<>();
  private final Map<String, Long> obeyed = new HashMap<>();

  /** An epoch was allocated for a shard. */
  void allocated(long epoch, int shard) {
    shardOfEpoch.put(epoch, shard);
  }

  /** A machine's assignment stands in the state service. */
  void assigned(String machine, int shard) {
    shardOfMachine.put(machine, shard);
  }

  /** Whether a machine is assigned to a shard, as far as that was ever written down. */
  boolean belongs(String machine, int shard) {
    return shardOfMachine.getOrDefault(machine, shard) == shard;
  }

  /**
   * A worker carries a start out.
   *
   * @param token what the command came under
   * @return what is wrong with it; empty if nothing is
   */
  List<String> started(String machine, long token, String task) {
    List<String> wrong = new ArrayList<>();
    long epoch = token >>> TOKEN_BITS;
    Integer by = shardOfEpoch.get(epoch);
    Integer of = shardOfMachine.get(machine);
    if (by == null) {
      wrong.add("start_unallocated: %s on %s under epoch %d".formatted(task, machine, epoch));
    } else if (of != null && !of.equals(by)) {
      wrong.add(
          "start_of_other_shard: %s on %s by shard %d, assigned to %d"
              .formatted(task, machine, by, of));
    }
    if (epoch < obeyed.getOrDefault(machine, 0L)) {
      wrong.add("start_below: %s on %s under epoch %d".formatted(task, machine, epoch));
    }
    obeyed.merge(machine, epoch, Math::max);
    return wrong;
  }
}
