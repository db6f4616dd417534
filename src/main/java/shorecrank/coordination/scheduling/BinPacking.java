package shorecrank.coordination.scheduling;

import java.util.List;
import java.util.SplittableRandom;
import shorecrank.coordination.model.Machine;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.JobSpec;

/** Chooses the machine on which tasks start soonest and leave the fewest processors unused. */
public final class BinPacking {
  /**
   * The cost in seconds of leaving all processors of the chosen machine unused. Packing machines
   * tightly keeps others free for large tasks.
   */
  private static final double UNUSED_MACHINE_COST_S = 2.0;

  private BinPacking() {}

  /**
   * The times that determine when a worker gets a start command, which is sent in the answer to its
   * next heartbeat.
   *
   * @param now the current time
   * @param heartbeatIntervalS seconds between two heartbeats of a worker
   */
  public record Clock(MonotonicTime now, double heartbeatIntervalS) {}

  /**
   * The tasks of a job that need a machine.
   *
   * @param tasks how many of the job's tasks should start
   * @param zone the only zone in which the tasks may start; null for any
   */
  public record Request(JobSpec spec, int tasks, String zone, Clock clock) {}

  /**
   * Returns the best machine of a random sample, or of all machines if none in the sample fits.
   *
   * @param sampleSize the number of machines to draw, with replacement; if there are no more
   *     machines than this, all of them are compared
   * @return the machine, or null if no machine fits
   */
  public static Machine choose(
      Request request, List<Machine> machines, int sampleSize, SplittableRandom random) {
    if (machines.size() > sampleSize) {
      Machine best = bestOfSample(request, machines, sampleSize, random);
      if (best != null) {
        return best;
      }
    }
    Machine best = null;
    double bestCost = Double.MAX_VALUE;
    for (Machine machine : machines) {
      double cost = cost(request, machine);
      if (cost < bestCost) {
        best = machine;
        bestCost = cost;
      }
    }
    return best;
  }

  private static Machine bestOfSample(
      Request request, List<Machine> machines, int sampleSize, SplittableRandom random) {
    Machine best = null;
    double bestCost = Double.MAX_VALUE;
    for (int draw = 0; draw < sampleSize; draw++) {
      Machine machine = machines.get(random.nextInt(machines.size()));
      double cost = cost(request, machine);
      if (cost < bestCost) {
        best = machine;
        bestCost = cost;
      }
    }
    return best;
  }

  /**
   * Returns the cost in seconds of a placement on the machine, or {@link Double#MAX_VALUE} if no
   * task fits.
   */
  private static double cost(Request request, Machine machine) {
    JobSpec spec = request.spec();
    if (!fits(request, machine)) {
      return Double.MAX_VALUE;
    }
    Clock clock = request.clock;
    double startS =
        machine.fetchSeconds(spec)
            + machine.session().secondsToNextAnswer(clock.now, clock.heartbeatIntervalS);
    int tasks = Math.min(request.tasks, machine.fittingTasks(spec));
    double unusedCpus = machine.freeCpus() - tasks * spec.cpus();
    return startS + UNUSED_MACHINE_COST_S * unusedCpus / Math.max(1, machine.type().cpus());
  }

  private static boolean fits(Request request, Machine machine) {
    return (request.zone == null || request.zone.equals(machine.info().zone()))
        && machine.fittingTasks(request.spec()) > 0
        && machine.isAllowedFor(request.spec());
  }
}
