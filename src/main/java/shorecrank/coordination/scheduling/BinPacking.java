package shorecrank.coordination.scheduling;

import java.util.List;
import java.util.SplittableRandom;
import shorecrank.coordination.model.Machine;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.JobSpec;

/** Chooses the machine where tasks of a job start soonest and leave the least room unused. */
public final class BinPacking {
  /** Seconds that leaving a whole machine free counts: large tasks then find room elsewhere. */
  private static final double FREE_MACHINE_COST_S = 2.0;

  private BinPacking() {}

  /**
   * When it is, and how often workers send heartbeats: a start goes in the answer to one.
   *
   * @param heartbeatIntervalS in seconds
   */
  public record Clock(MonotonicTime now, double heartbeatIntervalS) {}

  /**
   * Tasks that look for a machine.
   *
   * @param tasks how many of the job's tasks should start
   * @param zone the only zone where they may; null for any
   */
  public record Request(JobSpec spec, int tasks, String zone, Clock clock) {}

  /**
   * Samples a few machines that have room and takes the best fit; if none of them fits, looks at
   * all of them.
   *
   * @param sampleSize draws of a sample; no sample is taken of as few machines or fewer
   * @return null if no machine fits
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

  /** What a placement there costs, in seconds; the highest number if it does not fit. */
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
    double leftCpus = machine.freeCpus() - tasks * spec.cpus();
    return startS + FREE_MACHINE_COST_S * leftCpus / Math.max(1, machine.type().cpus());
  }

  private static boolean fits(Request request, Machine machine) {
    return (request.zone == null || request.zone.equals(machine.info().zone()))
        && machine.fittingTasks(request.spec()) > 0
        && machine.isAllowedFor(request.spec());
  }
}
