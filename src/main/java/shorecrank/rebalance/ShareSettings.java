package shorecrank.rebalance;

import com.google.protobuf.Message;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import shorecrank.config.InvalidConfigException;
import shorecrank.config.NodeConfig;
import shorecrank.config.TextProto;
import shorecrank.config.TextProto.Field;
import shorecrank.config.TextProto.Group;
import shorecrank.protocol.ShareStateMessages.TeamShare;

/**
 * The operators' settings for shares, read from a file in protobuf text format.
 *
 * @param automatic whether machines move automatically to bring shards closer to their targets
 * @param movesAtOnce the number of moves under way at which no further automatic move begins
 * @param settleS the time, in seconds, for which a shard has to be below its target before a
 *     machine is moved to it automatically
 * @param cooldownS the time, in seconds, after a move during which the machine is not moved
 *     automatically
 * @param timeoutS the age, in seconds, at which a move is aborted if its machine has not been
 *     handed over; a move whose machine has been handed over is aborted at twice this age
 * @param tolerance how far a shard may be below its target without receiving machines
 *     automatically, as a fraction of the target
 * @param teams the shares of the teams that are listed in the file
 */
public record ShareSettings(
    boolean automatic,
    int movesAtOnce,
    double settleS,
    double cooldownS,
    double timeoutS,
    double tolerance,
    List<TeamShare> teams) {
  private static final Field AUTOMATIC = Field.flag("automatic", true);
  private static final Field MOVES_AT_ONCE = Field.number("moves_at_once", 1, 1000, 8);
  private static final Field SETTLE_S = Field.number("settle_s", 0, 3600, 3);
  private static final Field COOLDOWN_S = Field.number("rest_s", 0, 86_400, 20);
  private static final Field TIMEOUT_S = Field.number("move_timeout_s", 5, 86_400, 120);
  private static final Field TOLERANCE = Field.number("tolerance", 0, 1, 0.1);
  private static final List<Field> FIELDS =
      List.of(AUTOMATIC, MOVES_AT_ONCE, SETTLE_S, COOLDOWN_S, TIMEOUT_S, TOLERANCE);

  private static final Field TEAM_NAME = Field.text("name");
  private static final Field WEIGHT = Field.number("weight", 0, 1e6, 1);
  private static final Field MIN_CPUS = Field.number("min_cpus", 0, 1e9, 0);
  private static final Field MAX_CPUS = Field.number("max_cpus", 0, 1e9, 0);
  private static final Group TEAM =
      new Group("team", List.of(TEAM_NAME, WEIGHT, MIN_CPUS, MAX_CPUS));

  /** Returns the share of a team that is neither listed in the settings nor set by an operator. */
  public static TeamShare defaultShare(String team) {
    return new TeamShare(
        team, WEIGHT.defaultValue(), MIN_CPUS.defaultValue(), MAX_CPUS.defaultValue());
  }

  /**
   * Reads settings from the text of a file; a setting that is not present has its default.
   *
   * @throws InvalidConfigException if a field is unknown or out of range; the message names it
   */
  public static ShareSettings read(String text) throws InvalidConfigException {
    Message message = TextProto.parse("Shares", FIELDS, List.of(TEAM), text);
    return new ShareSettings(
        AUTOMATIC.flagOf(message),
        (int) MOVES_AT_ONCE.numberOf(message),
        SETTLE_S.numberOf(message),
        COOLDOWN_S.numberOf(message),
        TIMEOUT_S.numberOf(message),
        TOLERANCE.numberOf(message),
        teams(message));
  }

  private static List<TeamShare> teams(Message message) throws InvalidConfigException {
    List<TeamShare> teams = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (Message teamMessage : TEAM.messagesIn(message)) {
      TeamShare team =
          new TeamShare(
              TEAM_NAME.textOf(teamMessage),
              WEIGHT.numberOf(teamMessage),
              MIN_CPUS.numberOf(teamMessage),
              MAX_CPUS.numberOf(teamMessage));
      if (team.team().isEmpty() || !names.add(team.team())) {
        throw new InvalidConfigException("team.name", "must be there, and once for each team");
      }
      if (team.maxCpus() > 0 && team.minCpus() > team.maxCpus()) {
        throw new InvalidConfigException("team.min_cpus", "must be at most max_cpus");
      }
      teams.add(team);
    }
    return List.copyOf(teams);
  }

  /**
   * Checks the settings against the platform's teams and the number of shards.
   *
   * @throws InvalidConfigException if a field doesn't match them; the message names the field
   */
  public void check(NodeConfig config, int shards) throws InvalidConfigException {
    if (shards < 2) {
      throw new InvalidConfigException("shares", "need parts above 1 in the file of --settings");
    }
    for (TeamShare team : teams) {
      if (!config.teams().containsKey(team.team())) {
        throw new InvalidConfigException("team.name", team.team() + " is no team of the platform");
      }
    }
    if (TeamShares.weightsSumToZero(config.teams().keySet(), teams)) {
      throw new InvalidConfigException("team.weight", "must not be 0 for all teams");
    }
  }
}
