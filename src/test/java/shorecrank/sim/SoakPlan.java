package shorecrank.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What a soak run plays: the size of the fleet, the limits of the state service and the pressure of
 * queries. The rate of queries stands to the rate of requests to the state service as it does with
 * 4,000 unfinished jobs, of which each is asked about every 5 s.
 *
 * @param controllers number of controllers
 * @param machines number of machines that are up from the start
 * @param requestsPerS requests that the state service accepts per second
 * @param writesPerS changes that it accepts per second
 * @param limits its size limits at the start
 * @param laterLimits its size limits from {@code limitsChangeS} on, announced in advance
 * @param limitsChangeS when the limits change, in seconds from the start of the run
 * @param queriesPerS rate of queries about jobs of any age
 * @param faults number of faults, besides a series of leaders that end
 * @param leaderCrashes number of leaders that end one after the other
 */
public record SoakPlan(
    int controllers,
    int machines,
    double requestsPerS,
    double writesPerS,
    StateLimits limits,
    StateLimits laterLimits,
    double limitsChangeS,
    double queriesPerS,
    int faults,
    int leaderCrashes) {

  /** Earliest time of a fault, in seconds from the start of the run. */
  static final double FAULTS_FROM_S = 8;

  /** Latest time of a fault, in seconds from the start of the run. */
  static final double FAULTS_TO_S = 34;

  private static final int[] CONTROLLERS = {3, 4, 5, 7};
  private static final int[] OPERATIONS = {5, 16, 48};
  private static final int LOWERED_OPERATIONS = 5;
  private static final int LOWERED_VALUE_KB = 2;
  private static final int VALUE_KB = 16;
  private static final int FEW_MACHINES = 8;
  private static final int MANY_MACHINES = 300;

  /** One run of so many has {@link #MANY_MACHINES}. */
  private static final int MANY_MACHINES_EVERY = 10;

  /**
   * Queries per request that the state service accepts: 4,000 jobs, 5 s, 250 requests per second.
   */
  private static final double QUERIES_PER_REQUEST = 3.2;

  /** The most queries that the test itself can send and check beside its other work. */
  private static final double MAX_QUERIES_PER_S = 250;

  private static final int FAULTS = 8;
  private static final int MAX_LEADER_CRASHES = 4;
  private static final double LEADER_CRASH_EVERY_S = 3;

  /** Draws a plan from a seed. */
  public static SoakPlan draw(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    boolean isLarge = random.nextBoolean();
    double requestsPerS = isLarge ? 250 : 70;
    StateLimits limits = new StateLimits(OPERATIONS[random.nextInt(OPERATIONS.length)], VALUE_KB);
    StateLimits later =
        random.nextBoolean() ? new StateLimits(LOWERED_OPERATIONS, LOWERED_VALUE_KB) : limits;
    return new SoakPlan(
        CONTROLLERS[random.nextInt(CONTROLLERS.length)],
        seed % MANY_MACHINES_EVERY == 0 ? MANY_MACHINES : FEW_MACHINES,
        requestsPerS,
        isLarge ? 100 : 25,
        limits,
        later,
        FAULTS_FROM_S + random.nextDouble() * (FAULTS_TO_S - FAULTS_FROM_S),
        Math.min(QUERIES_PER_REQUEST * requestsPerS, MAX_QUERIES_PER_S),
        FAULTS,
        random.nextInt(MAX_LEADER_CRASHES + 1));
  }

  /** Returns a quiet fleet of three controllers without faults and with high limits. */
  public static SoakPlan withoutFaults(int machines) {
    StateLimits limits = new StateLimits(48, VALUE_KB);
    return new SoakPlan(3, machines, 250, 100, limits, limits, 0, 20, 0, 0);
  }

  /** Sets the limits of the state service and of what is to come. */
  void configure(World world) {
    world.site.setStateRates(requestsPerS, writesPerS);
    world.store.limitRates(requestsPerS, writesPerS);
    world.store.setLimits(limits);
    world.site.setNextLimits(laterLimits, true);
  }

  /**
   * Schedules all faults, and the change of the limits.
   *
   * @return what is scheduled and when
   */
  List<String> schedule(World world) {
    ScenarioLine line = new ScenarioLine("soak", 1, "soak");
    RandomFaults random = new RandomFaults(world, line);
    random.draw(faults, FAULTS_FROM_S, FAULTS_TO_S);
    FaultScript script = new FaultScript(world, line);
    script.schedule(limitsChangeS, "lower-limits");
    for (int i = 0; i < leaderCrashes; i++) {
      script.schedule(FAULTS_FROM_S + (i + 1) * LEADER_CRASH_EVERY_S, "crash leader 1");
    }
    List<String> all = new ArrayList<>(random.script().scheduled());
    all.addAll(script.scheduled());
    return all;
  }
}
