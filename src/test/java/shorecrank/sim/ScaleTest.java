package shorecrank.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Rents a whole fleet, assigns its machines and runs tasks on them, while the leader and the shard
 * owner crash once each. Larger fleets run with {@code -Pscale}.
 */
class ScaleTest {
  private static final int STATE_REQUESTS_PER_S = 250;
  private static final int STATE_WRITES_PER_S = 250;

  /** Largest request that a controller accepts from another one. */
  private static final int MAX_PEER_REQUEST_BYTES = 512 * 1024;

  private static final int TASKS_PER_JOB = 150;
  private static final long OWNER_CRASH_AT_MS = 90_000;
  private static final long OWNER_RESTART_MS = 4000;

  @Test
  void sixHundredMachinesAreServedWithinTheLimits() throws Exception {
    runFleet(600);
  }

  @Tag("scale")
  @ParameterizedTest
  @ValueSource(ints = {1000, 2000, 4200})
  void largerFleetsAreServedWithinTheLimits(int machines) throws Exception {
    runFleet(machines);
  }

  @Tag("scale")
  @Test
  void everyJobOfFourThousandMachinesIsAnsweredAfterAllControllersRestart() throws Exception {
    String text =
        """
        controllers 7
        zones a,b,c
        workers heartbeat=5 lease=31 cancel=61
        state rps=250 writes=100 ops=48 value=16 enforced
        load-balancer
        type c16 cpus=16 memory=32 boot=20 zones=a,b,c
         machines c16 a 1400
         machines c16 b 1300
         machines c16 c 1300
        capacity 4000
        at 5 submit-every 1000 0.04 165 c tasks=1 cpus=16 memory=8 run=400
        at 180 crash all 4
        until 290
        """;
    Scenario scenario = new Scenario("scale-queries", text);
    assertEquals(List.of(), scenario.play(1, false));
    assertEquals(4000, scenario.world().jobs.ids().size());
  }

  private static void runFleet(int machines) throws Exception {
    int jobs = 2 * machines / TASKS_PER_JOB;
    String text =
        String.format(
            Locale.ROOT,
            """
            controllers 5
            zones a,b,c
            workers heartbeat=5 lease=31 cancel=61
            state rps=%1$d writes=%2$d ops=48 value=16
            type c8 cpus=8 memory=32 boot=20 zones=a,b,c
            capacity %3$d
            at 5 submit-every 1000 0.2 %4$.1f c tasks=%5$d cpus=8 memory=8 run=70
            at 60 crash leader 4
            until 240
            """,
            STATE_REQUESTS_PER_S,
            STATE_WRITES_PER_S,
            machines,
            5 + 0.2 * jobs,
            TASKS_PER_JOB);
    Scenario scenario = new Scenario("scale", text);
    Measurements measurements = new Measurements();
    scenario.measureWith(measurements);
    double[] heapMb = new double[1];
    scenario.beforeRun(w -> w.sim.at(OWNER_CRASH_AT_MS, () -> heapMb[0] = crashOwner(w)));
    assertEquals(List.of(), scenario.play(1, false));
    World world = scenario.world();
    int done = world.jobs.resultCount();
    SimulatedStateService store = world.store;
    System.out.printf(
        "%d machines: rented %d, tasks done %d, most a second: %d requests, %d changes;"
            + " heap of the owner %.1f MB%n%s",
        machines,
        world.cloud.largestSize(),
        done,
        store.meter().largestRequestsPerS(),
        store.meter().largestChangesPerS(),
        heapMb[0],
        measurements);
    assertTrue(world.cloud.largestSize() >= machines * 0.98, "rented " + world.cloud.largestSize());
    assertTrue(
        world.checker.tasks().starts() >= machines, "starts " + world.checker.tasks().starts());
    assertEquals(0, store.meter().refusedForSize(), "transactions refused for their size");
    assertTrue(
        store.meter().largestChangesPerS() <= 2 * STATE_WRITES_PER_S,
        "changes " + store.meter().largestChangesPerS());
    assertTrue(
        store.meter().largestRequestsPerS() <= 2 * STATE_REQUESTS_PER_S,
        "requests " + store.meter().largestRequestsPerS());
    assertTrue(measurements.largestMessage("/peer/beat") < MAX_PEER_REQUEST_BYTES);
  }

  /**
   * Crashes the shard owner and returns the heap that it occupied in megabytes: the heap in use
   * before the crash less the heap in use after it.
   */
  private static double crashOwner(World world) {
    ControllerNode owner = world.owner(0).orElseThrow();
    long usedWithOwner = usedHeapAfterGc();
    owner.crash(OWNER_RESTART_MS);
    return (usedWithOwner - usedHeapAfterGc()) / 1e6;
  }

  private static long usedHeapAfterGc() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
