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
  private static final double AGE_S = 60;

  private static final double MAX_AGE_FACTOR = 4;
  private static final double EPSILON = 1e-9;

  private ShareTargets() {}

  /**
   * What targets are computed from for one shard.
   *
   * @param demand null if its owner is not heard: the shard then keeps what it has
   * @param present the processors that it has
   */
  record Claim(ShardShare share, ShardDemand demand, double present) {}

  /**
   * Computes the targets, which sum up to the capacity.
   *
   * @param capacity processors of all machines that are assigned
   */
  static Map<ShardId, Double> compute(double capacity, Map<ShardId, Claim> claims) {
    Map<ShardId, Double> targets = new TreeMap<>();
    claims.keySet().forEach(shard -> targets.put(shard, 0.0));
    fill(targets, capacity, claims, ShareTargets::lowest);
    fill(targets, capacity, claims, claim -> Math.max(lowest(claim), guaranteed(claim)));
    fill(targets, capacity, claims, ShareTargets::needed);
    leaveInPlace(targets, capacity, claims);
    return targets;
  }

  private static double lowest(Claim claim) {
    return Math.min(claim.share().minCpus(), claim.share().maxCpus());
  }

  private static double guaranteed(Claim claim) {
    double within = claim.demand() == null ? claim.present() : claim.demand().guaranteed();
    return Math.min(within, claim.share().maxCpus());
  }

  private static double needed(Claim claim) {
    ShardDemand demand = claim.demand();
    double need = demand == null ? claim.present() : demand.running() + demand.totalWaiting();
    return Math.max(lowest(claim), Math.min(need, claim.share().maxCpus()));
  }

  /** How a shard's demand counts beside that of others: by its weight, what waits and how long. */
  private static double weight(Claim claim) {
    ShardDemand demand = claim.demand();
    if (demand == null) {
      return claim.share().weight();
    }
    double waiting = demand.totalWaiting();
    double factor = 1;
    if (waiting > EPSILON) {
      double weighted = 0;
      List<Double> byPriority = demand.waiting();
      for (int i = 0; i < byPriority.size(); i++) {
        weighted += byPriority.get(i) * priorityFactor(i);
      }
      factor = weighted / waiting;
    }
    double age = Math.min(MAX_AGE_FACTOR, 1 + demand.oldestWaitS() / AGE_S);
    return claim.share().weight() * factor * age;
  }

  private static double priorityFactor(int rank) {
    return PRIORITY_FACTORS[Math.min(rank, PRIORITY_FACTORS.length - 1)];
  }

  /** The processors that a shard should reach before others get more. */
  @FunctionalInterface
  private interface Level {
    double of(Claim claim);
  }

  /** Raises all targets to a level, by weight where there is not enough for it. */
  private static void fill(
      Map<ShardId, Double> targets, double capacity, Map<ShardId, Claim> claims, Level level) {
    double left = capacity - sum(targets);
    Map<ShardId, Double> lacking = new HashMap<>();
    claims.forEach(
        (shard, claim) -> {
          double lack = level.of(claim) - targets.get(shard);
          if (lack > EPSILON) {
            lacking.put(shard, lack);
          }
        });
    while (left > EPSILON && !lacking.isEmpty()) {
      left -= fillOnce(targets, left, lacking, claims);
    }
  }

  /**
   * Gives each shard its fraction of the processors left, or all that it lacks; returns how many
   * were given.
   */
  private static double fillOnce(
      Map<ShardId, Double> targets,
      double left,
      Map<ShardId, Double> lacking,
      Map<ShardId, Claim> claims) {
    double weights = 0;
    for (ShardId shard : lacking.keySet()) {
      weights += weight(claims.get(shard));
    }
    double given = 0;
    List<ShardId> shards = List.copyOf(lacking.keySet());
    for (ShardId shard : shards) {
      double fraction =
          weights > EPSILON ? weight(claims.get(shard)) / weights : 1.0 / shards.size();
      double lack = lacking.get(shard);
      double gets = Math.min(lack, left * fraction);
      targets.merge(shard, gets, Double::sum);
      given += gets;
      if (lack - gets <= EPSILON) {
        lacking.remove(shard);
      } else {
        lacking.put(shard, lack - gets);
      }
    }
    // Shards of weight zero beside others get nothing, and would be asked for ever.
    if (given <= EPSILON) {
      lacking.clear();
    }
    return given;
  }

  /** Leaves what nobody needs with the shards that have it, as far as their maximums go. */
  private static void leaveInPlace(
      Map<ShardId, Double> targets, double capacity, Map<ShardId, Claim> claims) {
    double left = capacity - sum(targets);
    for (Map.Entry<ShardId, Claim> entry : claims.entrySet()) {
      Claim claim = entry.getValue();
      double most = Math.min(claim.present(), claim.share().maxCpus());
      double stays = Math.max(0, Math.min(left, most - targets.get(entry.getKey())));
      targets.merge(entry.getKey(), stays, Double::sum);
      left -= stays;
    }
    if (left <= EPSILON) {
      return;
    }
    double weights = claims.values().stream().mapToDouble(claim -> claim.share().weight()).sum();
    for (Map.Entry<ShardId, Claim> entry : claims.entrySet()) {
      double fraction =
          weights > EPSILON ? entry.getValue().share().weight() / weights : 1.0 / claims.size();
      targets.merge(entry.getKey(), left * fraction, Double::sum);
    }
  }

  private static double sum(Map<ShardId, Double> targets) {
    return targets.values().stream().mapToDouble(Double::doubleValue).sum();
  }
}
