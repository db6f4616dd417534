package shorecrank.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import shorecrank.config.NodeConfig.CloudLimits;
import shorecrank.config.NodeConfig.Member;
import shorecrank.config.NodeConfig.Objective;
import shorecrank.config.NodeConfig.ProcessLimits;
import shorecrank.config.NodeConfig.StateLimits;
import shorecrank.config.NodeConfig.Team;
import shorecrank.config.NodeConfig.WorkerTimings;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Json;
import shorecrank.protocol.MalformedMessageException;

/** Reads the platform's configuration file, which is in JSON. */
public final class NodeConfigFile {
  /** The highest number allowed in a field that has no lower maximum of its own. */
  private static final double MAX_NUMBER = 1e9;

  private static final double HOUR_S = 3600;
  private static final double DAY_S = 86400;
  private static final StateLimits DEFAULT_STATE_LIMITS = new StateLimits(100, 50, 16, 16);

  private NodeConfigFile() {}

  /**
   * Parses the file's content.
   *
   * @throws InvalidConfigException if the content is no JSON object, or a field is missing,
   *     malformed or out of range; the message names the first such field
   */
  public static NodeConfig read(byte[] text) throws InvalidConfigException {
    JsonNode json = parse(text);
    if (!json.isObject()) {
      throw new InvalidConfigException("the file", "must hold a JSON object");
    }
    ConfigSection file = new ConfigSection(json, "");
    ConfigSection settings = file.section("settings");
    List<Member> members = readMembers(file);
    Map<String, Team> teams = readTeams(settings);
    List<Objective> objectives = readObjectives(settings);
    StateLimits state = readStateLimits(settings.section("state"));
    ConfigSection endpoints = file.section("endpoints");
    return new NodeConfig(
        new ControllerName(file.text("label")),
        file.optionalText("location"),
        file.address("public_addr"),
        file.address("peer_bind"),
        members,
        endpoints.address("cloud"),
        endpoints.address("state"),
        teams,
        objectives,
        readWorkerTimings(settings.section("workers")),
        state,
        readCloudLimits(settings.section("cloud")),
        readProcessLimits(settings.section("quota")));
  }

  private static JsonNode parse(byte[] text) throws InvalidConfigException {
    try {
      return Json.read(text);
    } catch (MalformedMessageException e) {
      throw new InvalidConfigException("the file", e.reason());
    }
  }

  private static List<Member> readMembers(ConfigSection file) throws InvalidConfigException {
    List<Member> members = new ArrayList<>();
    for (JsonNode json : file.json().path("members")) {
      ConfigSection member = new ConfigSection(json, "members.");
      members.add(
          new Member(
              new ControllerName(member.text("label")),
              member.optionalText("location"),
              member.address("addr")));
    }
    return List.copyOf(members);
  }

  private static Map<String, Team> readTeams(ConfigSection settings) throws InvalidConfigException {
    Map<String, Team> teams = new TreeMap<>();
    for (JsonNode json : settings.json().path("teams")) {
      ConfigSection team = new ConfigSection(json, "settings.teams.");
      String name = team.text("name");
      teams.put(
          name,
          new Team(
              name,
              team.number("cpus", 0, MAX_NUMBER, 0),
              team.number("cpus_max", 0, MAX_NUMBER, 0),
              team.number("gpus", 0, MAX_NUMBER, 0),
              team.number("gpus_max", 0, MAX_NUMBER, 0)));
    }
    return teams;
  }

  private static List<Objective> readObjectives(ConfigSection settings)
      throws InvalidConfigException {
    List<Objective> objectives = new ArrayList<>();
    for (JsonNode json : settings.json().path("objectives")) {
      ConfigSection objective = new ConfigSection(json, "settings.objectives.");
      objectives.add(
          new Objective(
              objective.optionalText("kind"),
              objective.optionalText("class"),
              objective.number("within_s", 0, MAX_NUMBER, 0),
              objective.number("share", 0, MAX_NUMBER, 0),
              objective.number("times", 0, MAX_NUMBER, 1)));
    }
    return List.copyOf(objectives);
  }

  /**
   * Returns, for each limit of the state service, the lower one of the current value and the value
   * announced in the field {@code settings.state.next}. The announced limits come into force
   * without notice, so the controller always observes both.
   */
  private static StateLimits readStateLimits(ConfigSection state) throws InvalidConfigException {
    StateLimits current = readStateLimits(state, DEFAULT_STATE_LIMITS);
    JsonNode next = state.json().path("next");
    if (next.isMissingNode() || next.isNull()) {
      return current;
    }
    if (!next.isObject()) {
      throw new InvalidConfigException("settings.state.next", "must be an object with limits");
    }
    return current.min(readStateLimits(state.section("next"), current));
  }

  private static StateLimits readStateLimits(ConfigSection limits, StateLimits defaults)
      throws InvalidConfigException {
    return new StateLimits(
        limits.number("rps", 1, MAX_NUMBER, defaults.rps()),
        limits.number("write_rps", 1, MAX_NUMBER, defaults.writeRps()),
        limits.number("value_kb", 1, 64, defaults.valueKb()),
        limits.wholeNumber("txn_ops", 4, 100000, defaults.txnOps()));
  }

  private static WorkerTimings readWorkerTimings(ConfigSection workers)
      throws InvalidConfigException {
    return new WorkerTimings(
        workers.number("report_s", 0.01, HOUR_S, 3),
        workers.number("lease_s", 0.1, DAY_S, 30),
        workers.number("cancel_s", 0.1, DAY_S, 60));
  }

  private static CloudLimits readCloudLimits(ConfigSection cloud) throws InvalidConfigException {
    return new CloudLimits(
        cloud.number("rps", 0.1, MAX_NUMBER, 4), cloud.number("list_lag_s", 0, HOUR_S, 5));
  }

  private static ProcessLimits readProcessLimits(ConfigSection quota)
      throws InvalidConfigException {
    return new ProcessLimits(
        quota.number("cores", 0.01, 1024, 1),
        quota.number("mem_mb", 16, MAX_NUMBER, 512),
        quota.wholeNumber("sockets", 16, MAX_NUMBER, 1000));
  }
}
