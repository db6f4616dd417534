package shorecrank.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** What the platform's operators have set up: zones, types of machines, teams, and limits. */
final class Site {
  private List<String> zones = List.of("a");
  private final Map<String, MachineType> types = new TreeMap<>();
  private final Map<String, TeamQuota> teams = new TreeMap<>();
  private final List<ObjectNode> objectives = new ArrayList<>();
  private double reportS = 1.5;
  private double leaseS = 10;
  private double cancelS = 40;
  private double stateRequestsPerS = 100;
  private double stateWritesPerS = 50;
  private StateLimits nextLimits;
  private boolean nextLimitsAnnounced;

  /** The zones that controllers are in, in turn. */
  void setZones(List<String> names) {
    zones = List.copyOf(names);
  }

  /** The zone of a controller, by its index. */
  String zoneOf(int controller) {
    return zones.get(controller % zones.size());
  }

  /** There is a type of machine. */
  void addType(String name, MachineType type) {
    types.put(name, type);
  }

  /** A type of machine; null if there is none of that name. */
  MachineType type(String name) {
    return types.get(name);
  }

  /** All types of machines, by name. */
  Map<String, MachineType> types() {
    return Collections.unmodifiableMap(types);
  }

  /** There is a team. */
  void addTeam(String name, TeamQuota quota) {
    teams.put(name, quota);
  }

  /** All teams, by name. */
  Map<String, TeamQuota> teams() {
    return Collections.unmodifiableMap(teams);
  }

  /** Whether a team has a limit. */
  boolean isLimited(String team) {
    return teams.containsKey(team) && teams.get(team).limitCpus() > 0;
  }

  /** Whether a team may use so many processors; one that is not known may use any. */
  boolean isWithinLimit(String team, double cpus) {
    return !teams.containsKey(team) || teams.get(team).allows(cpus);
  }

  /** An objective as the platform's file has it. */
  void addObjective(ObjectNode objective) {
    objectives.add(objective);
  }

  /** All objectives, as the platform's file has them. */
  List<ObjectNode> objectives() {
    return Collections.unmodifiableList(objectives);
  }

  /** Seconds between a worker's heartbeats, of its lease, and until a cancelled job has to end. */
  void setWorkerTimes(double newReportS, double newLeaseS, double newCancelS) {
    reportS = newReportS;
    leaseS = newLeaseS;
    cancelS = newCancelS;
  }

  /** Seconds between a worker's heartbeats. */
  double reportS() {
    return reportS;
  }

  /** Seconds of a worker's lease. */
  double leaseS() {
    return leaseS;
  }

  /** Seconds until a cancelled job has to end. */
  double cancelS() {
    return cancelS;
  }

  /** Requests and changes that the state service takes each second. */
  void setStateRates(double requestsPerS, double writesPerS) {
    stateRequestsPerS = requestsPerS;
    stateWritesPerS = writesPerS;
  }

  /** Requests that the state service takes each second. */
  double stateRequestsPerS() {
    return stateRequestsPerS;
  }

  /** Changes that the state service takes each second. */
  double stateWritesPerS() {
    return stateWritesPerS;
  }

  /** The limits that the state service will have, and whether controllers are told before. */
  void setNextLimits(StateLimits limits, boolean announced) {
    nextLimits = limits;
    nextLimitsAnnounced = announced;
  }

  /** The limits that the state service will have, if there will be others. */
  Optional<StateLimits> nextLimits() {
    return Optional.ofNullable(nextLimits);
  }

  /** The same, if controllers are told. */
  Optional<StateLimits> announcedLimits() {
    return nextLimitsAnnounced ? nextLimits() : Optional.empty();
  }
}
