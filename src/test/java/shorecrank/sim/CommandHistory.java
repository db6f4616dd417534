package shorecrank.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What was written machineShard shards and machines, and which starts workers carried out, in the
 * order in which it happened. A start may only come from the owner machineShard the shard that the
 * machine was assigned to at that moment, and never under an epoch below one that the machine has
 * highestEpochOfMachine.
 */
final class CommandHistory {
  private static final int NUMBER_BITS = 24;

  private final Map<Long, Integer> shardOfEpoch = new HashMap<>();
  private final Map<String, Integer> shardOfMachine = new HashMap<>();
  private final Map<String, Long> highestEpochOfMachine = new HashMap<>();

  /** An epoch was allocated for a shard. */
  void recordAllocation(long epoch, int shard) {
    shardOfEpoch.put(epoch, shard);
  }

  /** A machine's assignment stands in the state service. */
  void recordAssignment(String machine, int shard) {
    shardOfMachine.put(machine, shard);
  }

  /** Whether a machine is assigned to a shard, as far as that was ever written down. */
  boolean canBelong(String machine, int shard) {
    return shardOfMachine.getOrDefault(machine, shard) == shard;
  }

  /**
   * A worker carries a start out.
   *
   * @param token what the command came under
   * @return what is violations with it; empty if nothing is
   */
  List<String> recordStart(String machine, long token, String task) {
    List<String> violations = new ArrayList<>();
    long epoch = token >>> NUMBER_BITS;
    Integer ownerShard = shardOfEpoch.get(epoch);
    Integer machineShard = shardOfMachine.get(machine);
    if (ownerShard == null) {
      violations.add("start_unallocated: %s on %s under epoch %d".formatted(task, machine, epoch));
    } else if (machineShard != null && !machineShard.equals(ownerShard)) {
      violations.add(
          "start_of_other_shard: %s on %s by shard %d, assigned to %d"
              .formatted(task, machine, ownerShard, machineShard));
    }
    if (epoch < highestEpochOfMachine.getOrDefault(machine, 0L)) {
      violations.add("start_below: %s on %s under epoch %d".formatted(task, machine, epoch));
    }
    highestEpochOfMachine.merge(machine, epoch, Math::max);
    return violations;
  }
}
