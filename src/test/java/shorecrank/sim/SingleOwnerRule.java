package shorecrank.sim;

import java.util.Map;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.ShardId;

/**
 * Checks that no two processes may command the same shard ({@code two_owners}), whatever their
 * epochs, nor the same machine ({@code two_commanders}), whichever shards they own.
 */
final class SingleOwnerRule extends Rule {
  SingleOwnerRule(World world, Checker checker) {
    super(world, checker);
  }

  @Override
  void roundCompleted(ControllerNode node) {
    checkShards(node);
    if (world().settings().shards() > 1) {
      checkMachines(node);
    }
  }

  private void checkShards(ControllerNode node) {
    for (Map.Entry<ShardId, Epoch> shard : node.commandedEpochs().entrySet()) {
      for (ControllerNode other : world().controllers()) {
        Epoch epoch = other == node ? null : other.commandedEpochs().get(shard.getKey());
        if (epoch != null) {
          report(
              "two_owners: %s at %s and %s at %s"
                  .formatted(node.label(), shard.getValue(), other.label(), epoch));
        }
      }
    }
  }

  private void checkMachines(ControllerNode node) {
    for (MachineName machine : node.commandedMachines()) {
      // Machines that the cloud no longer has don't count: an owner whose machine list is out of
      // date may still list them.
      if (world().worker(machine.value()).isEmpty()) {
        continue;
      }
      for (ControllerNode other : world().controllers()) {
        if (other != node && other.commandedMachines().contains(machine)) {
          report("two_commanders: %s at %s and %s".formatted(machine, node.label(), other.label()));
        }
      }
    }
  }
}
