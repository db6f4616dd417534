package shorecrank.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** What the platform's operators have set up: zones, machine types, teams, and limits. */
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
  private ProcessorCosts processorCosts;
  private boolean nextLimitsAnnounced;

  /** Sets the zones; controllers are placed in them in turn. */
  void setZones(List<String> names) {
    zones = List.copyOf(names);
  }

  /** Returns the zone of the controller at an index. */
  String zoneOf(int controller) {
    return zones.get(controller % zones.size());
  }

  /** Sets what inputs cost the controllers; without it, they take no time. */
  void setProcessorCosts(ProcessorCosts costs) {
    processorCosts = costs;
  }

  /** Returns what inputs cost the controllers; empty if they take no time. */
  Optional<ProcessorCosts> processorCosts() {
    return Optional.ofNullable(processorCosts);
  }

  /** Adds a machine type. */
  void addType(String name, MachineType type) {
    types.put(name, type);
  }

  /** Returns a machine type; null if there is none of that name. */
  MachineType type(String name) {
    return types.get(name);
  }

  /** Returns all machine types by name. */
  Map<String, MachineType> types() {
    return Collections.unmodifiableMap(types);
  }

  /** Adds a team. */
  void addTeam(String name, TeamQuota quota) {
    teams.put(name, quota);
  }

  /** Returns the quotas of all teams by name. */
  Map<String, TeamQuota> teams() {
    return Collections.unmodifiableMap(teams);
  }

  /** Reports whether a team has a limit. */
  boolean isLimited(String team) {
    return teams.containsKey(team) && teams.get(team).limitCpus() > 0;
  }

  /** Reports whether a team may use this number of processors; true for an unknown team. */
  boolean isWithinLimit(String team, double cpus) {
    return !teams.containsKey(team) || teams.get(team).allows(cpus);
  }

  /** Adds a service-level objective, in the form of the platform's configuration file. */
  void addObjective(ObjectNode objective) {
    objectives.add(objective);
  }

  /** Returns all service-level objectives, in the form of the platform's configuration file. */
  List<ObjectNode> objectives() {
    return Collections.unmodifiableList(objectives);
  }

  /**
   * Sets the workers' timings, in seconds: the interval of heartbeats, the lease, and the time
   * within which a cancelled job must end.
   */
  void setWorkerTimes(double newReportS, double newLeaseS, double newCancelS) {
    reportS = newReportS;
    leaseS = newLeaseS;
    cancelS = newCancelS;
  }

  /** Returns the interval of a worker's heartbeats, in seconds. */
  double reportS() {
    return reportS;
  }

  /** Returns the duration of a worker's lease, in seconds. */
  double leaseS() {
    return leaseS;
  }

  /** Returns the time within which a cancelled job must end, in seconds. */
  double cancelS() {
    return cancelS;
  }

  /** Sets how many requests and changes the state service accepts per second. */
  void setStateRates(double requestsPerS, double writesPerS) {
    stateRequestsPerS = requestsPerS;
    stateWritesPerS = writesPerS;
  }

  /** Returns how many requests the state service accepts per second. */
  double stateRequestsPerS() {
    return stateRequestsPerS;
  }

  /** Returns how many changes the state service accepts per second. */
  double stateWritesPerS() {
    return stateWritesPerS;
  }

  /**
   * Sets the limits that the state service will have later.
   *
   * @param announced whether the controllers' configuration names them in advance
   */
  void setNextLimits(StateLimits limits, boolean announced) {
    nextLimits = limits;
    nextLimitsAnnounced = announced;
  }

  /** Returns the limits that the state service will have later; empty if they stay the same. */
  Optional<StateLimits> nextLimits() {
    return Optional.ofNullable(nextLimits);
  }

  /** Returns the later limits that are announced to the controllers; empty if there are none. */
  Optional<StateLimits> announcedLimits() {
    return nextLimitsAnnounced ? nextLimits() : Optional.empty();
  }
}
