package shorecrank.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import shorecrank.protocol.Json;
import shorecrank.protocol.RolloutMessages.RolloutPhase;
import shorecrank.rollout.ArchiveKeys;
import shorecrank.rollout.ArchiveValueCodec;
import shorecrank.storage.JobRecord;

/** Measures in simulated time what it costs to raise and lower the feature level. */
@Tag("scale")
class RolloutMeasurementTest {
  private static final int JOBS = 1000;
  private static final long DOWNGRADE_AT_MS = 120_000;
  private static final long POLL_MS = 100;

  /** Traffic at the state service while the level is lowered. */
  private static final class Traffic {
    int requests;
    int changes;
    long bytes;
    int recordsRewritten;
  }

  @ParameterizedTest
  @CsvSource({"5, 50", "1000, 50", "1000, 100"})
  void downgradeRewritesRecordsOfRunningJobs(double rewritesPerS, int writesPerS) throws Exception {
    Scenario scenario = new Scenario("downgrade", scenarioText(rewritesPerS, writesPerS));
    Traffic traffic = new Traffic();
    long[] loweredAtMs = {-1};
    int[] requestsBefore = {0};
    scenario.beforeRun(
        world -> {
          world.store.beforeTransactions(
              operations -> {
                if (world.rollouts.state().phase() == RolloutPhase.FALLING) {
                  countOperations(world, traffic, operations);
                }
              });
          world.sim.at(DOWNGRADE_AT_MS, () -> requestsBefore[0] = world.store.meter().requests());
          pollUntilLowered(world, loweredAtMs, traffic, requestsBefore);
        });
    assertEquals(List.of(), scenario.play(1, false));
    World world = scenario.world();
    assertEquals(0, world.rollouts.denseRecordCount());
    long durationMs = loweredAtMs[0] - DOWNGRADE_AT_MS;
    System.out.printf(
        Locale.ROOT,
        "downgrade, %.0f rewrites/s allowed, %d changes/s taken: %.1f s, %d records rewritten,"
            + " %d changes, %d requests, %.0f KB; acceptance before %s, during %s%n",
        rewritesPerS,
        writesPerS,
        durationMs / 1000.0,
        traffic.recordsRewritten,
        traffic.changes,
        traffic.requests,
        traffic.bytes / 1024.0,
        acceptanceTimes(world, DOWNGRADE_AT_MS - durationMs, DOWNGRADE_AT_MS),
        acceptanceTimes(world, DOWNGRADE_AT_MS, loweredAtMs[0]));
    assertTrue(traffic.recordsRewritten >= JOBS * 0.8, "rewritten " + traffic.recordsRewritten);
  }

  private static String scenarioText(double rewritesPerS, int writesPerS) {
    return String.format(
        Locale.ROOT,
        """
        controllers 3
        zones a,b
        state rps=200 writes=%2$d ops=16 value=16
        type c64 cpus=64 memory=256 boot=20 zones=a,b
         machines c64 a 20
         machines c64 b 20
        capacity 40
        rollout settle_s: 5
        rollout rewrites_per_s: %1$.1f
        at 5 submit-every 10000 0.04 45 long tasks=1 cpus=2 run=600 memory=1
        at 6 submit-every 1 2 300 c tasks=2 cpus=1 run=5 memory=1
        at 10 rollout-order n0 up finalize 1
        at 110 expect level 1
        at 120 rollout-order n1 down downgrade 0
        at 399 expect level 0
        until 400
        """,
        rewritesPerS,
        writesPerS);
  }

  private static void pollUntilLowered(
      World world, long[] loweredAtMs, Traffic traffic, int[] requestsBefore) {
    if (world.checker.rollout().falls() > 0) {
      loweredAtMs[0] = world.sim.now();
      traffic.requests = world.store.meter().requests() - requestsBefore[0];
      return;
    }
    world.sim.after(POLL_MS, () -> pollUntilLowered(world, loweredAtMs, traffic, requestsBefore));
  }

  private static void countOperations(World world, Traffic traffic, JsonNode operations) {
    traffic.changes += operations.size();
    for (JsonNode o : operations) {
      traffic.bytes += Json.bytes(o).length;
      String key = o.path("write").asText();
      boolean rewritesDense =
          key.startsWith(JobRecord.LIVE_PREFIX) && JobRecord.isDense(world.store.peek(key));
      traffic.recordsRewritten += rewritesDense ? 1 : 0;
    }
  }

  /**
   * Returns count, mean and maximum of the times until submissions were accepted, for jobs that
   * were submitted in a time range.
   */
  private static String acceptanceTimes(World world, long fromMs, long toMs) {
    var stats =
        world.checker.answers().acceptances().stream()
            .filter(a -> a.submittedAtMs() >= fromMs && a.submittedAtMs() < toMs)
            .mapToLong(AnswerHistory.Acceptance::delayMs)
            .summaryStatistics();
    return "%d of mean %.0f ms, longest %d ms"
        .formatted(stats.getCount(), stats.getAverage(), stats.getMax());
  }

  @Test
  void levelRisesOnceAfterLastUpgrade() throws Exception {
    for (String archive : List.of("true", "false")) {
      String text =
          """
          controllers 3
          zones a,b
          type p8 cpus=8 memory=32 boot=20 zones=a,b
           machines p8 a 4
           machines p8 b 4
          capacity 8
          rollout settle_s: 30
          rollout automatic: true
          rollout archive_before_raise: %s
          levels none,none,none
          at 5 submit-every 1 0.5 150 c tasks=2 cpus=1 run=6
          at 20 roll n0 0-1 1
          at 40 roll n1 0-1 1
          at 60 roll n2 0-1 1
          until 160
          """
              .formatted(archive);
      Scenario scenario = new Scenario("rise", text);
      long[] raisedAtMs = {-1};
      scenario.beforeRun(world -> pollUntilRaised(world, raisedAtMs));
      assertEquals(List.of(), scenario.play(1, false));
      World world = scenario.world();
      long bytes =
          world.store.keys(ArchiveKeys.CHUNKS_PREFIX).stream()
              .mapToLong(key -> ArchiveValueCodec.readChunk(world.store.peek(key)).length)
              .sum();
      System.out.printf(
          "rise: archive %s: %.1f s from the last upgraded process to the level; archive %d bytes%n",
          archive, (raisedAtMs[0] - 61_000) / 1000.0, bytes);
      assertEquals(1, world.checker.rollout().rises());
    }
  }

  private static void pollUntilRaised(World world, long[] raisedAtMs) {
    if (world.checker.rollout().rises() > 0) {
      raisedAtMs[0] = world.sim.now();
    } else {
      world.sim.after(POLL_MS, () -> pollUntilRaised(world, raisedAtMs));
    }
  }
}
