package shorecrank.config;

import java.util.List;
import java.util.Map;
import shorecrank.protocol.Ids.ControllerName;

/**
 * What the platform tells a controller of itself, its fleet and their limits; {@link
 * NodeConfigFile} reads it.
 *
 * @param label this controller's name
 * @param zone where this controller runs; empty if that is not known
 * @param publicAddr where users and workers reach this controller
 * @param peerBind where this controller listens to its peers and operators
 * @param members the other controllers of the fleet
 * @param cloudAddr the cloud's interface
 * @param stateAddr the state service
 * @param teams by name, in the order of names
 */
public record NodeConfig(
    ControllerName label,
    String zone,
    Address publicAddr,
    Address peerBind,
    List<Member> members,
    Address cloudAddr,
    Address stateAddr,
    Map<String, Team> teams,
    List<Objective> objectives,
    WorkerTimings workers,
    StateLimits state,
    CloudLimits cloud,
    ProcessLimits limits) {

  /** A host and its port. */
  public record Address(String host, int port) {
    /** Splits a text that is known to be {@code HOST:PORT}. */
    public static Address of(String text) {
      int colon = text.lastIndexOf(':');
      return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    @Override
    public String toString() {
      return host + ":" + port;
    }
  }

  /**
   * A controller of the fleet.
   *
   * @param zone where it runs; empty if that is not known
   * @param addr where its peers reach it
   */
  public record Member(ControllerName label, String zone, Address addr) {}

  /**
   * A team with its guaranteed shares and its limits, in CPUs and GPUs.
   *
   * @param cpusMax 0 for no limit
   * @param gpusMax 0 for no limit
   */
  public record Team(
      String name, double guaranteedCpus, double cpusMax, double guaranteedGpus, double gpusMax) {}

  /**
   * A service-level objective of a class of jobs.
   *
   * @param kind {@code wait}, {@code finished} or {@code deadline}
   * @param withinS the time within which it should happen, in seconds
   * @param jobFraction of the jobs for which it should hold, from 0 to 1
   * @param deadlineFactor factor on a job's own deadline
   */
  public record Objective(
      String kind, String jobClass, double withinS, double jobFraction, double deadlineFactor) {}

  /**
   * The protocol's times for workers, in seconds.
   *
   * @param heartbeatIntervalS between two heartbeats of a worker
   * @param leaseS a worker without an answer for so long kills its tasks
   * @param cancellationDeadlineS within which no task of a cancelled job may run any more
   */
  public record WorkerTimings(
      double heartbeatIntervalS, double leaseS, double cancellationDeadlineS) {}

  /**
   * Limits of the state service.
   *
   * @param rps requests per second
   * @param writeRps changes per second
   * @param valueKb size of a value, in KiB
   * @param txnOps changes in a transaction
   */
  public record StateLimits(double rps, double writeRps, double valueKb, int txnOps) {
    /** The lower of each of both limits. */
    StateLimits min(StateLimits other) {
      return new StateLimits(
          Math.min(rps, other.rps),
          Math.min(writeRps, other.writeRps),
          Math.min(valueKb, other.valueKb),
          Math.min(txnOps, other.txnOps));
    }
  }

  /**
   * Limits of the cloud's interface.
   *
   * @param rps requests per second
   * @param listLagS how old a list of machines may be, in seconds
   */
  public record CloudLimits(double rps, double listLagS) {}

  /** What this process may use: processor cores, memory in MiB, and open sockets. */
  public record ProcessLimits(double cores, double memoryMb, int sockets) {}
}
