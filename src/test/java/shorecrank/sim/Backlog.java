package shorecrank.sim;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import shorecrank.protocol.Ids.ShardId;

/** Submitted work that has no result yet, and the time that the machines need for it. */
final class Backlog {
  private final World world;

  Backlog(World world) {
    this.world = world;
  }

  /**
   * Returns how long the machines need for all tasks without a result, in milliseconds: for each
   * team, the processor seconds of its tasks divided by the processors that it can use in its
   * shard. The durations of one shard's teams are added, and the longest shard counts.
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
   * Returns the remaining processor seconds of each team. A task holds its processors from the
   * start of the image fetch until the first heartbeat after its end, so a whole heartbeat interval
   * is included.
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

  /**
   * Returns the processors that a team can use in its shard: those of at least one machine, without
   * machines that are moving to another shard, and at most the team's limit.
   */
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
