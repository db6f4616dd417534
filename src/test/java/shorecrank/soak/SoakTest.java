package shorecrank.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import shorecrank.sim.SoakFleet;
import shorecrank.sim.SoakPlan;

/** Runs fleets of real controllers under random faults. */
class SoakTest {
  private static final Path DIRECTORY = Path.of("target/soak").toAbsolutePath();
  private static final long[] FIXED_SEEDS = {1, 2};
  private static final String LOST_JOB = "wk-3";
  private static final int DEFAULT_SEEDS = 50;
  private static final int DEFAULT_PARALLEL = 3;

  private final ExecutorService threads = Executors.newCachedThreadPool();

  @AfterEach
  void stopThreads() {
    threads.shutdownNow();
  }

  @Test
  void noRuleIsViolatedUnderTheFaultsOfFixedSeeds() throws Exception {
    // The checker's own test takes over a minute, so it runs beside the others.
    Future<List<String>> lostQueries = threads.submit(this::violationsWithLostQueries);
    check(FIXED_SEEDS, FIXED_SEEDS.length);
    assertTrue(
        lostQueries.get().stream().anyMatch(text -> text.contains("forgotten")),
        "the rules did not report a job whose queries were lost: " + lostQueries.get());
  }

  private List<String> violationsWithLostQueries() throws Exception {
    SoakPlan plan = SoakPlan.withoutFaults(4);
    try (SoakFleet fleet = new SoakFleet(1, DIRECTORY.resolve("lost-queries"), plan, 6)) {
      fleet.loseRequestsAbout(LOST_JOB);
      fleet.run();
      return fleet.violations();
    }
  }

  /** Guards against red runs of which nothing tells why a controller has ended. */
  @Test
  void theEndOfAControllerIsReportedWithItsStatusAndLastLine() throws Exception {
    SoakPlan plan = SoakPlan.withoutFaults(4);
    try (SoakFleet fleet = new SoakFleet(1, DIRECTORY.resolve("ended"), plan, 10)) {
      fleet.endController(1, 5000);
      fleet.run();
      String reported = String.join("; ", fleet.violations());
      assertTrue(
          reported.matches(".*ended by itself: n1, .*exit status 137, last line .*: \\S.*"),
          reported);
    }
  }

  /** Runs {@code -Dseeds=N} seeds from {@code -Dfirst=N} on, or only {@code -Dseed=N}. */
  @Tag("soak")
  @Test
  void noRuleIsViolatedUnderTheFaultsOfManySeeds() throws Exception {
    Long only = Long.getLong("seed");
    long first = Long.getLong("first", 1);
    long count = Long.getLong("seeds", DEFAULT_SEEDS);
    long[] seeds =
        only != null ? new long[] {only} : LongStream.range(first, first + count).toArray();
    check(seeds, Integer.getInteger("parallel", DEFAULT_PARALLEL));
  }

  private static void check(long[] seeds, int parallel) throws Exception {
    ExecutorService threads = Executors.newFixedThreadPool(parallel);
    List<String> red = new ArrayList<>();
    try {
      List<Future<SoakRun.Result>> runs = new ArrayList<>();
      for (long seed : seeds) {
        Callable<SoakRun.Result> run = () -> SoakRun.play(seed, DIRECTORY);
        runs.add(threads.submit(run));
      }
      for (Future<SoakRun.Result> run : runs) {
        SoakRun.Result result = run.get();
        System.out.printf(
            "soak seed %d %s: %s%n",
            result.seed(), result.isGreen() ? "green" : "red", result.summary());
        if (!result.isGreen()) {
          System.out.println(result.describe());
          red.add(result.describe());
        }
      }
    } finally {
      threads.shutdownNow();
    }
    assertEquals(List.of(), red);
  }
}
