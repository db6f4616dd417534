package shorecrank.sim;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * A cell of the grid of loads under which users ask about many unfinished jobs: limits of the state
 * service, kinds of jobs, and two faults that overlap and end.
 *
 * @param controllers number of controllers
 * @param operations operations that the state service allows in a transaction
 * @param requestsPerS rate of requests that the state service accepts
 * @param hasChangingRecords whether tasks start and end throughout, so that records keep changing
 * @param fault index of the first of the two faults in {@link #FAULTS}
 * @param dependencies number of dependencies of each waiting job; 0 for no waiting jobs
 * @param shards number of shards
 * @param jobs number of unfinished jobs about which users ask
 */
record QueryLoad(
    int controllers,
    int operations,
    int requestsPerS,
    boolean hasChangingRecords,
    int fault,
    int dependencies,
    int shards,
    int jobs) {

  /** Faults that begin at the second {@code %d} and are over 25 s later. */
  private static final Map<String, String> FAULTS_BY_NAME =
      new TreeMap<>(
          Map.of(
              "cuts", "at %d cut owner peers 20 drop\nat %<d cut other state 20 drop",
              "late-writes", "at %d late-writes 0.3 10",
              "leaders", "at %d crash leader 1\nat %<d crash owner 6",
              "restart", "at %d crash all 4",
              "slow-state", "at %d slow-state 20 20"));

  private static final String[] FAULTS = FAULTS_BY_NAME.keySet().toArray(String[]::new);
  private static final int SUBMIT_FROM_S = 5;
  private static final int FIRST_JOB = 1000;
  private static final int FIRST_WAITING_JOB = 90_000;
  private static final int WAITING_JOBS = 60;
  private static final int SETTLE_S = 10;
  private static final int OVERLAP_S = 5;

  /** Time for the faults, and after them for a job to be forgotten. */
  private static final int OBSERVED_S = 25 + OVERLAP_S + 100;

  private static final int WRITES_PER_S = 100;
  private static final int CPUS_PER_MACHINE = 16;

  /** What a run of the cell has found. */
  record Outcome(QueryLoad load, long forgottenJobs, String otherViolation, Map<String, Long> why) {
    boolean isGreen() {
      return forgottenJobs == 0 && otherViolation.isEmpty();
    }
  }

  /** Returns the names of the two faults. */
  String faults() {
    return FAULTS[fault % FAULTS.length] + "+" + FAULTS[(fault + 1) % FAULTS.length];
  }

  /** Plays the cell from one seed. */
  Outcome play(long seed) throws Exception {
    Scenario scenario = new Scenario("query-load", text());
    var violations = scenario.play(seed, false);
    String forgotten = "forgotten: no question about ";
    long jobsForgotten =
        violations.stream()
            .filter(text -> text.contains(forgotten))
            .map(text -> text.substring(text.indexOf(forgotten)))
            .distinct()
            .count();
    String other =
        violations.stream().filter(text -> !text.contains(forgotten)).findFirst().orElse("");
    RunCounters counters = scenario.world().counters;
    Map<String, Long> why = counters.countsWithPrefix("query.unanswered.");
    why.putAll(counters.countsWithPrefix("status.refused."));
    why.putAll(counters.countsWithPrefix("status.answer.late"));
    return new Outcome(this, jobsForgotten, other, why);
  }

  private double submitIntervalS() {
    // Each submission takes a write and a request, its claim and placement another.
    return Math.max(3.0 / WRITES_PER_S, 1.6 / requestsPerS);
  }

  private double submitUntilS() {
    return SUBMIT_FROM_S + jobs * submitIntervalS();
  }

  /** Returns the scenario. */
  String text() {
    int faultS = (int) submitUntilS() + SETTLE_S;
    int endS = faultS + OBSERVED_S;
    StringBuilder text = new StringBuilder();
    if (shards > 1) {
      text.append("set parts: ").append(shards).append('\n');
    }
    add(text, "controllers %d\nzones a,b,c", controllers);
    add(text, "workers heartbeat=5 lease=31 cancel=61");
    add(
        text,
        "state rps=%d writes=%d ops=%d value=16 enforced",
        requestsPerS,
        WRITES_PER_S,
        operations);
    add(text, "load-balancer\ntype c16 cpus=%d memory=64 boot=20 zones=a,b,c", CPUS_PER_MACHINE);
    int machinesPerZone = jobs / CPUS_PER_MACHINE / 3 + 20;
    for (String zone : new String[] {"a", "b", "c"}) {
      add(text, "machines c16 %s %d", zone, machinesPerZone);
    }
    add(text, "capacity %d", 3 * machinesPerZone);
    for (int shard = 0; shard < shards; shard++) {
      add(text, "team team-%d", shard);
      add(
          text,
          "at %d submit-every %d %.3f %.1f quiet tasks=1 cpus=1 memory=1 run=%d team=team-%d",
          SUBMIT_FROM_S,
          FIRST_JOB + shard * (FIRST_WAITING_JOB / 4),
          submitIntervalS() * shards,
          submitUntilS(),
          endS,
          shard);
    }
    addMovingLoad(text, endS);
    addWaitingJobs(text);
    add(text, FAULTS_BY_NAME.get(FAULTS[fault % FAULTS.length]), faultS);
    add(text, FAULTS_BY_NAME.get(FAULTS[(fault + 1) % FAULTS.length]), faultS + OVERLAP_S);
    add(text, "until %d", endS);
    return text.toString();
  }

  /** Adds jobs that start, end and are cancelled throughout. */
  private void addMovingLoad(StringBuilder text, int endS) {
    add(text, "at 4 cancel-each cancelled 6 1000");
    add(text, "at 6 submit-every 100000 4 %d cancelled tasks=4 cpus=1 run=20 team=team-0", endS);
    if (hasChangingRecords) {
      add(text, "at 6 submit-every 200000 2 %d moving tasks=40 cpus=1 run=12 team=team-0", endS);
    } else {
      add(text, "at 6 submit-every 200000 5 %d moving tasks=2 cpus=1 run=5 team=team-0", endS);
    }
  }

  private void addWaitingJobs(StringBuilder text) {
    if (dependencies > 0) {
      int fromS = (int) submitUntilS() - WAITING_JOBS;
      add(
          text,
          "at %d submit-every %d 1 %d quiet tasks=1 cpus=1 run=5 team=team-0"
              + " depends-on=wk-%d..%d",
          Math.max(fromS, SUBMIT_FROM_S + SETTLE_S),
          FIRST_WAITING_JOB,
          (int) submitUntilS(),
          FIRST_JOB,
          FIRST_JOB + dependencies - 1);
    }
  }

  private static void add(StringBuilder text, String format, Object... values) {
    text.append(String.format(Locale.ROOT, format, values)).append('\n');
  }
}
