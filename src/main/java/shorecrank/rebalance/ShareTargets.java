package shorecrank.rebalance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.ShardDemandMessages.ShardDemand;
import shorecrank.rebalance.TeamShares.ShardShare;

/**
 * Computes how many processors each shard should have. First come minimums, then demand within
 * guarantees, then the rest of the demand, each by weight; processors that nobody needs stay where
 * they are.
 */
final class ShareTargets {
  /** How much waiting work counts, by its priority: the highest priority first. */
  private static final double[] PRIORITY_FACTORS = {8, 4, 2, 1};

  /** A shard counts twice once a job has waited so long without any task. */
  private static final double WAIT_DOUBLING_S = 60;

  private static final double MAX_WAIT_FACTOR = 4;
  private static final double EPSILON = 1e-9;

  private ShareTargets() {}

  /**
   * What targets are computed from for one shard.
   *
   * @param demand null if its owner is not heard: the shard then keeps what it has
   * @param currentCpus the processors that it has
   */
  record ShardInput(ShardShare share, ShardDemand demand, double currentCpus) {}

  /**
   * Computes the targets, which sum up to the capacity.
   *
   * @param capacity processors of all machines that are assigned
   */
  static Map<ShardId, Double> compute(double capacity, Map<ShardId, ShardInput> inputs) {
    Map<ShardId, Double> targets = new TreeMap<>();
    inputs.keySet().forEach(shard -> targets.put(shard, 0.0));
    raiseTo(targets, capacity, inputs, ShareTargets::minimum);
    raiseTo(targets, capacity, inputs, input -> Math.max(minimum(input), guaranteed(input)));
    raiseTo(targets, capacity, inputs, ShareTargets::needed);
    keepUnneededInPlace(targets, capacity, inputs);
    return targets;
  }

  private static double minimum(ShardInput input) {
    return Math.min(input.share().minCpus(), input.share().maxCpus());
  }

  private static double guaranteed(ShardInput input) {
    double within = input.demand() == null ? input.currentCpus() : input.demand().guaranteed();
    return Math.min(within, input.share().maxCpus());
  }

  private static double needed(ShardInput input) {
    ShardDemand demand = input.demand();
    double need = demand == null ? input.currentCpus() : demand.running() + demand.totalWaiting();
    return Math.max(minimum(input), Math.min(need, input.share().maxCpus()));
  }

  /** How a shard's demand counts beside that of others: by its weight, what waits and how long. */
  private static double weight(ShardInput input) {
    ShardDemand demand = input.demand();
    if (demand == null) {
      return input.share().weight();
    }
    double waiting = demand.totalWaiting();
    double priorityFactor = 1;
    if (waiting > EPSILON) {
      double weighted = 0;
      List<Double> byPriority = demand.waiting();
      for (int i = 0; i < byPriority.size(); i++) {
        weighted += byPriority.get(i) * priorityFactor(i);
      }
      priorityFactor = weighted / waiting;
    }
    double waitFactor = Math.min(MAX_WAIT_FACTOR, 1 + demand.oldestWaitS() / WAIT_DOUBLING_S);
    return input.share().weight() * priorityFactor * waitFactor;
  }

  private static double priorityFactor(int rank) {
    return PRIORITY_FACTORS[Math.min(rank, PRIORITY_FACTORS.length - 1)];
  }

  /** The processors that a shard should reach before others get more. */
  @FunctionalInterface
  private interface TargetLevel {
    double of(ShardInput input);
  }

  /** Raises all targets to a level, by weight where there is not enough for it. */
  private static void raiseTo(
      Map<ShardId, Double> targets,
      double capacity,
      Map<ShardId, ShardInput> inputs,
      TargetLevel level) {
    double remaining = capacity - sum(targets);
    Map<ShardId, Double> deficits = new HashMap<>();
    inputs.forEach(
        (shard, input) -> {
          double deficit = level.of(input) - targets.get(shard);
          if (deficit > EPSILON) {
            deficits.put(shard, deficit);
          }
        });
    while (remaining > EPSILON && !deficits.isEmpty()) {
      remaining -= distributeOnce(targets, remaining, deficits, inputs);
    }
  }

  /**
   * Gives each shard its fraction of the processors remaining, or all that it lacks; returns how
   * many were distributed.
   */
  private static double distributeOnce(
      Map<ShardId, Double> targets,
      double remaining,
      Map<ShardId, Double> deficits,
      Map<ShardId, ShardInput> inputs) {
    double weights = 0;
    for (ShardId shard : deficits.keySet()) {
      weights += weight(inputs.get(shard));
    }
    double distributed = 0;
    List<ShardId> shards = List.copyOf(deficits.keySet());
    for (ShardId shard : shards) {
      double fraction =
          weights > EPSILON ? weight(inputs.get(shard)) / weights : 1.0 / shards.size();
      double deficit = deficits.get(shard);
      double granted = Math.min(deficit, remaining * fraction);
      targets.merge(shard, granted, Double::sum);
      distributed += granted;
      if (deficit - granted <= EPSILON) {
        deficits.remove(shard);
      } else {
        deficits.put(shard, deficit - granted);
      }
    }
    // Shards of weight zero beside others get nothing, and would be asked for ever.
    if (distributed <= EPSILON) {
      deficits.clear();
    }
    return distributed;
  }

  /** Leaves what nobody needs with the shards that have it, as far as their maximums go. */
  private static void keepUnneededInPlace(
      Map<ShardId, Double> targets, double capacity, Map<ShardId, ShardInput> inputs) {
    double remaining = capacity - sum(targets);
    for (Map.Entry<ShardId, ShardInput> entry : inputs.entrySet()) {
      ShardInput input = entry.getValue();
      double most = Math.min(input.currentCpus(), input.share().maxCpus());
      double stays = Math.max(0, Math.min(remaining, most - targets.get(entry.getKey())));
      targets.merge(entry.getKey(), stays, Double::sum);
      remaining -= stays;
    }
    if (remaining <= EPSILON) {
      return;
    }
    double weights = inputs.values().stream().mapToDouble(input -> input.share().weight()).sum();
    for (Map.Entry<ShardId, ShardInput> entry : inputs.entrySet()) {
      double fraction =
          weights > EPSILON ? entry.getValue().share().weight() / weights : 1.0 / inputs.size();
      targets.merge(entry.getKey(), remaining * fraction, Double::sum);
    }
  }

  private static double sum(Map<ShardId, Double> targets) {
    return targets.values().stream().mapToDouble(Double::doubleValue).sum();
  }
}
