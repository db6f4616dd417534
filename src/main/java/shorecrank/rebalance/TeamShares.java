package shorecrank.rebalance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.ShareStateMessages.TeamShare;

/**
 * Determines the share of each team, and the total share of each shard's teams. A share set by an
 * operator's order takes precedence over the settings, and those over the default.
 */
final class TeamShares {
  /**
   * The sum of the shares of a shard's teams.
   *
   * @param minCpus the processors that the shard gets before any shard gets more than its minimum
   * @param maxCpus the most processors that the shard gets by demand; infinite if one of the teams
   *     has no maximum
   */
  record ShardShare(double weight, double minCpus, double maxCpus) {}

  private final Collection<String> teams;
  private final List<TeamShare> configured;
  private final int shards;

  TeamShares(Collection<String> teams, List<TeamShare> configured, int shards) {
    this.teams = List.copyOf(teams);
    this.configured = List.copyOf(configured);
    this.shards = shards;
  }

  /** Reports whether the platform has a team of this name. */
  boolean hasTeam(String team) {
    return teams.contains(team);
  }

  /** Returns the names of the teams that belong to a shard. */
  List<String> teamsOf(ShardId shard) {
    return teams.stream().filter(team -> ShardId.of(team, shards).equals(shard)).toList();
  }

  /**
   * Returns the share of a team that is in force.
   *
   * @param ordered the shares that operators have set
   */
  TeamShare shareOf(String team, List<TeamShare> ordered) {
    return find(team, ordered, find(team, configured, ShareSettings.defaultShare(team)));
  }

  /** Returns the shares of all teams that are in force. */
  List<TeamShare> allShares(List<TeamShare> ordered) {
    List<TeamShare> all = new ArrayList<>();
    teams.forEach(team -> all.add(shareOf(team, ordered)));
    return all;
  }

  private static TeamShare find(String team, List<TeamShare> shares, TeamShare fallback) {
    return shares.stream().filter(share -> share.team().equals(team)).findFirst().orElse(fallback);
  }

  /** Returns the share of each shard; a shard without teams has a share of zero. */
  Map<ShardId, ShardShare> sharesByShard(List<TeamShare> ordered) {
    Map<ShardId, ShardShare> shares = new TreeMap<>();
    for (int i = 0; i < shards; i++) {
      ShardId shard = new ShardId(i);
      shares.put(shard, sum(teamsOf(shard), ordered));
    }
    return shares;
  }

  private ShardShare sum(List<String> shardTeams, List<TeamShare> ordered) {
    double weight = 0;
    double min = 0;
    double max = 0;
    for (String team : shardTeams) {
      TeamShare share = shareOf(team, ordered);
      weight += share.weight();
      min += share.minCpus();
      max += share.maxCpus() > 0 ? share.maxCpus() : Double.POSITIVE_INFINITY;
    }
    return new ShardShare(weight, min, max);
  }

  /** Reports whether the weights of all teams are zero, so that they can't divide the capacity. */
  static boolean weightsSumToZero(Collection<String> teams, List<TeamShare> shares) {
    return !teams.isEmpty()
        && teams.stream()
            .allMatch(team -> find(team, shares, ShareSettings.defaultShare(team)).weight() <= 0);
  }
}
