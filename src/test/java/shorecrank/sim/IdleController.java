package shorecrank.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.ShardId;

/** A controller that does nothing and answers nothing; tests set what it may command. */
final class IdleController extends ControllerNode {
  private final Map<ShardId, Epoch> shards = new HashMap<>();
  private final Set<MachineName> machines = new HashSet<>();

  IdleController(World world, int index) {
    super(world, index);
  }

  /** Lets the controller command a shard at an epoch. */
  void commandShard(int shard, long epoch) {
    shards.put(new ShardId(shard), new Epoch(epoch));
  }

  /** Lets the controller command a machine. */
  void commandMachine(String machine) {
    machines.add(new MachineName(machine));
  }

  @Override
  void launch() {
    world().rollouts.setupForStart(this);
  }

  @Override
  void kill() {}

  @Override
  void freeze(long durationMs) {}

  @Override
  void handle(ControllerRequest request, ReplyHandler reply) {}

  @Override
  Map<ShardId, Epoch> ownedEpochs() {
    return shards;
  }

  @Override
  Map<ShardId, Epoch> commandedEpochs() {
    return shards;
  }

  @Override
  Set<MachineName> commandedMachines() {
    return machines;
  }
}
