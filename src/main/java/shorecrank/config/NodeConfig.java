package shorecrank.config;

import java.util.List;
import java.util.Map;
import shorecrank.protocol.Ids.ControllerName;

/**
 * The configuration that the platform gives to a controller: its addresses, the other controllers
 * of the fleet, and the limits of the services it uses. {@link NodeConfigFile} reads it.
 *
 * @param label this controller's name
 * @param zone the zone in which this controller runs; empty if unknown
 * @param publicAddr the address on which this controller serves users and workers
 * @param peerBind the address on which this controller serves its peers and operators
 * @param members the other controllers of the fleet
 * @param cloudAddr the address of the cloud's interface
 * @param stateAddr the address of the state service
 * @param teams the teams by name, sorted by name
 * @param objectives the service-level objectives of all job classes
 * @param workers the timings of the protocol between workers and controllers
 * @param state the limits of the state service
 * @param cloud the limits of the cloud's interface
 * @param limits the resources that this process may use
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
  /** Returns the same configuration with at most the given memory, in megabytes. */
  public NodeConfig withMaxMemoryMb(double megabytes) {
    ProcessLimits lower =
        new ProcessLimits(limits.cores(), Math.min(limits.memoryMb(), megabytes), limits.sockets());
    return new NodeConfig(
        label,
        zone,
        publicAddr,
        peerBind,
        members,
        cloudAddr,
        stateAddr,
        teams,
        objectives,
        workers,
        state,
        cloud,
        lower);
  }

  /** A host and its port. */
  public record Address(String host, int port) {
    /** Parses an address; the text must have the form {@code HOST:PORT}. */
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
   * Another controller of the fleet.
   *
   * @param label the controller's name
   * @param zone the zone in which the controller runs; empty if unknown
   * @param addr the controller's peer address
   */
  public record Member(ControllerName label, String zone, Address addr) {}

  /**
   * A team with its guarantees and limits, in CPUs and GPUs.
   *
   * @param cpusMax the limit on the CPUs that the team may use at once; 0 for no limit
   * @param gpusMax the limit on the GPUs that the team may use at once; 0 for no limit
   */
  public record Team(
      String name, double guaranteedCpus, double cpusMax, double guaranteedGpus, double gpusMax) {}

  /**
   * A service-level objective of a class of jobs.
   *
   * @param kind what the objective limits: {@code wait}, the time until a job's tasks start; {@code
   *     finished}, the time until the job ends; or {@code deadline}, the time until the job ends as
   *     a multiple of the job's own deadline
   * @param withinS the limit in seconds, for the kinds {@code wait} and {@code finished}
   * @param jobFraction the fraction of the class's jobs that should meet the objective, from 0 to 1
   * @param deadlineFactor the multiple of a job's own deadline, for the kind {@code deadline}
   */
  public record Objective(
      String kind, String jobClass, double withinS, double jobFraction, double deadlineFactor) {}

  /**
   * The timings of the protocol between workers and controllers, in seconds.
   *
   * @param heartbeatIntervalS the time between two heartbeats of a worker (setting {@code
   *     report_s})
   * @param leaseS the duration of a worker's lease: a worker whose heartbeats get no answer for
   *     this long kills its tasks
   * @param cancellationDeadlineS the time after a job's cancellation by which all its tasks must
   *     have ended (setting {@code cancel_s})
   */
  public record WorkerTimings(
      double heartbeatIntervalS, double leaseS, double cancellationDeadlineS) {}

  /**
   * The limits of the state service.
   *
   * @param rps the maximum number of requests per second
   * @param writeRps the maximum number of changes per second
   * @param valueKb the maximum size of a value, in KiB
   * @param txnOps the maximum number of changes in a transaction
   */
  public record StateLimits(double rps, double writeRps, double valueKb, int txnOps) {
    /** Returns, for each limit, the lower one of this object and another. */
    StateLimits min(StateLimits other) {
      return new StateLimits(
          Math.min(rps, other.rps),
          Math.min(writeRps, other.writeRps),
          Math.min(valueKb, other.valueKb),
          Math.min(txnOps, other.txnOps));
    }
  }

  /**
   * The limits of the cloud's interface.
   *
   * @param rps the maximum number of requests per second
   * @param listLagS how many seconds a list of machines may lag behind the actual machines
   */
  public record CloudLimits(double rps, double listLagS) {}

  /** The resources that this process may use: processor cores, memory in MiB, and open sockets. */
  public record ProcessLimits(double cores, double memoryMb, int sockets) {}
}
