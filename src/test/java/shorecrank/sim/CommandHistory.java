package shorecrank.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The epochs and machine assignments that were written, and the start commands that workers
 * executed, in the order in which they happened. A start command may only come from the owner of
 * the shard that the machine is assigned to at that moment, and never under a lower epoch than one
 * whose start command the machine has executed before.
 */
final class CommandHistory {
  /** The number of low bits of a fencing token that hold the command number. */
  private static final int NUMBER_BITS = 24;

  private final Map<Long, Integer> shardOfEpoch = new HashMap<>();
  private final Map<String, Integer> shardOfMachine = new HashMap<>();
  private final Map<String, Long> highestEpochOfMachine = new HashMap<>();

  /** Records that an epoch was allocated for a shard. */
  void recordAllocation(long epoch, int shard) {
    shardOfEpoch.put(epoch, shard);
  }

  /** Records that the state service holds an assignment of the machine to the shard. */
  void recordAssignment(String machine, int shard) {
    shardOfMachine.put(machine, shard);
  }

  /**
   * Reports whether a machine may belong to a shard: it is assigned to that shard, or no assignment
   * of the machine was ever written.
   */
  boolean canBelong(String machine, int shard) {
    return shardOfMachine.getOrDefault(machine, shard) == shard;
  }

  /**
   * Records that a worker executes a start command.
   *
   * @param token the fencing token of the command
   * @return the violations of this start; empty if there are none
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
