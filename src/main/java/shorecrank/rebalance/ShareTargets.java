package shorecrank.rebalance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.ShardDemandMessages.ShardDemand;
import shorecrank.rebalance.TeamShares.ShardShare;

/**
 * Computes the target of each shard: the number of processors that it should have.
 *
 * <p>The capacity is distributed in this order: the minimums of all shards, the part of their
 * demand within team guarantees, the rest of their demand. Where the capacity does not suffice for
 * a step, it is divided by weight. Processors that no shard needs stay with the shards that have
 * them, so that no machine moves without a need.
 */
final class ShareTargets {
  /** The weight factors of processors that queued tasks need, highest priority first. */
  private static final double[] PRIORITY_FACTORS = {8, 4, 2, 1};

  /** The wait of a shard's oldest job without a task, in seconds, that doubles its weight. */
  private static final double WAIT_DOUBLING_S = 60;

  private static final double MAX_WAIT_FACTOR = 4;

  /** The limit up to which amounts of processors and weights count as 0, because of rounding. */
  private static final double EPSILON = 1e-9;

  private ShareTargets() {}

  /**
   * One shard's share and demand, from which its target is computed.
   *
   * @param demand the demand that the shard's owner has reported; null if there is no recent
   *     report, in which case the shard's current processors count as its demand
   * @param currentCpus the processors of the machines that the shard has
   */
  record ShardInput(ShardShare share, ShardDemand demand, double currentCpus) {}

  /**
   * Returns the target of each shard, in processors. The targets sum up to the capacity.
   *
   * @param capacity the processors of all assigned machines
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

  /**
   * Returns the weight by which a shard competes for processors: its configured weight, raised by
   * the priority of its waiting tasks and by the wait of its oldest job.
   */
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

  /** Computes the processors that a shard should reach in one step of the distribution. */
  @FunctionalInterface
  private interface TargetLevel {
    double of(ShardInput input);
  }

  /**
   * Raises the targets of all shards to a level. If the capacity does not suffice, divides by
   * weight what is available.
   */
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
   * Grants each shard in {@code deficits} its fraction of the remaining processors, at most its
   * deficit, and removes the shards whose deficit is met.
   *
   * @return the number of processors that were granted
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
    // If nothing was granted, for example to shards of weight 0, the loop in raiseTo would not end.
    if (distributed <= EPSILON) {
      deficits.clear();
    }
    return distributed;
  }

  /**
   * Distributes the processors that no shard needs: each shard keeps what it has up to its maximum,
   * and what is then left is divided by configured weight, also beyond maximums.
   */
  private static void keepUnneededInPlace(
      Map<ShardId, Double> targets, double capacity, Map<ShardId, ShardInput> inputs) {
    double remaining = capacity - sum(targets);
    for (Map.Entry<ShardId, ShardInput> entry : inputs.entrySet()) {
      ShardInput input = entry.getValue();
      double limit = Math.min(input.currentCpus(), input.share().maxCpus());
      double kept = Math.max(0, Math.min(remaining, limit - targets.get(entry.getKey())));
      targets.merge(entry.getKey(), kept, Double::sum);
      remaining -= kept;
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
