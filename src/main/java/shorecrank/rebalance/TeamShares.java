package shorecrank.rebalance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.ShareMessages.TeamShare;

/** What each team, and so each shard, is to get: the file's words, then operators' orders. */
final class TeamShares {
  /**
   * What a shard's teams are to get together.
   *
   * @param maxCpus infinite if one of the teams has no bound
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

  boolean knows(String team) {
    return teams.contains(team);
  }

  /** The teams of a shard. */
  List<String> teamsOf(ShardId shard) {
    return teams.stream().filter(t -> ShardId.of(t, shards).equals(shard)).toList();
  }

  /** A team's share in force. */
  TeamShare of(String team, List<TeamShare> ordered) {
    return find(team, ordered, find(team, configured, ShareSettings.defaultOf(team)));
  }

  /** All teams' shares in force. */
  List<TeamShare> all(List<TeamShare> ordered) {
    List<TeamShare> all = new ArrayList<>();
    teams.forEach(team -> all.add(of(team, ordered)));
    return all;
  }

  private static TeamShare find(String team, List<TeamShare> in, TeamShare otherwise) {
    return in.stream().filter(t -> t.team().equals(team)).findFirst().orElse(otherwise);
  }

  /** Shares by shard; a shard without teams gets nothing. */
  Map<ShardId, ShardShare> byShard(List<TeamShare> ordered) {
    Map<ShardId, ShardShare> shares = new TreeMap<>();
    for (int i = 0; i < shards; i++) {
      ShardId shard = new ShardId(i);
      shares.put(shard, sum(teamsOf(shard), ordered));
    }
    return shares;
  }

  private ShardShare sum(List<String> of, List<TeamShare> ordered) {
    double weight = 0;
    double min = 0;
    double max = 0;
    for (String team : of) {
      TeamShare share = of(team, ordered);
      weight += share.weight();
      min += share.minCpus();
      max += share.maxCpus() > 0 ? share.maxCpus() : Double.POSITIVE_INFINITY;
    }
    return new ShardShare(weight, min, max);
  }

  /** Whether no team would get anything. */
  static boolean weightsSumToZero(Collection<String> teams, List<TeamShare> shares) {
    return !teams.isEmpty()
        && teams.stream()
            .allMatch(team -> find(team, shares, ShareSettings.defaultOf(team)).weight() <= 0);
  }
}
