package shorecrank.sim;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import shorecrank.protocol.Ids.ShardId;

/** The work that users have submitted and that machines have not done yet. */
final class Backlog {
  private final World world;

  Backlog(World world) {
    this.world = world;
  }

  /**
   * How long the machines take for the tasks without a result: the processor time that each team's
   * tasks hold, over what the team may use of the machines that its shard is sure to keep. Teams of
   * one shard count one after the other, shards side by side.
   */
  long durationMs() {
    Map<ShardId, Double> seconds = new HashMap<>();
    remainingCpuSeconds()
        .forEach(
            (team, remaining) -> {
              ShardId shard = ShardId.of(team, world.settings().shards());
              seconds.merge(shard, remaining / usableCpus(team, shard), Double::sum);
            });
    double longest = seconds.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
    return (long) (longest * 1000);
  }

  /**
   * Processor seconds by team. A task holds its processors from the fetch of its image until the
   * heartbeat after its end, which comes after a whole pause at the latest.
   */
  private Map<String, Double> remainingCpuSeconds() {
    Map<String, Double> remaining = new HashMap<>();
    for (String job : world.jobs.ids()) {
      if (world.checker.answers().isOver(job) || world.jobs.isCancelRequested(job)) {
        continue;
      }
      JobPlan plan = world.jobs.plan(job);
      double cpuSecondsPerTask = plan.cpus() * (plan.fetchS() + plan.runS() + world.site.reportS());
      for (int i = 0; i < plan.tasks(); i++) {
        if (!world.jobs.hasResult(job + "/" + i)) {
          remaining.merge(plan.team(), cpuSecondsPerTask, Double::sum);
        }
      }
    }
    return remaining;
  }

  /** Processors of a shard's machines without those about to leave it, but of one at the least. */
  private double usableCpus(String team, ShardId shard) {
    Set<String> leaving =
        world.shares.state().active().stream()
            .filter(move -> move.from().equals(shard))
            .map(move -> move.machine().value())
            .collect(Collectors.toSet());
    long machines =
        world.shares.machinesByShard().getOrDefault(shard.value(), List.of()).stream()
            .filter(machine -> !leaving.contains(machine))
            .count();
    double cpusEach =
        world.site.types().values().stream().mapToDouble(MachineType::cpus).min().orElseThrow();
    double cpus = Math.max(1, machines) * cpusEach;
    double limit = world.site.teams().get(team).limitCpus();
    return limit > 0 ? Math.min(limit, cpus) : cpus;
  }
}
