package shorecrank.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import shorecrank.protocol.RolloutMessages.RolloutPhase;
import shorecrank.sim.ProcessFleet.ClientResult;

/**
 * Upgrades and downgrades three real controllers between the production version and the current
 * one, in random order under steady load: every job gets exactly one final answer.
 */
@Tag("mixed-versions")
class RolloutVersionsTest {
  private static final int ROUNDS = Integer.getInteger("rounds", 20);
  private static final int CONTROLLERS = 3;

  @TempDir Path dir;
  private int restarts;
  private int raises;
  private int lowerings;
  private int productionReturnsAtLevel;

  @Test
  void everyJobEndsOnceDuringUpgradesAndDowngrades() throws Exception {
    Path settings = dir.resolve("rollout.textproto");
    Files.writeString(settings, "settle_s: 2 rewrites_per_s: 50");
    ProgramVersion production = ProgramVersions.production();
    ProgramVersion current = ProgramVersions.current("--rollout", settings.toString());
    Random random = new Random(Long.getLong("seed", 1));
    try (ProcessFleet fleet = new ProcessFleet(1, production, 4)) {
      fleet.submitEvery(900);
      for (int round = 0; round < ROUNDS; round++) {
        runRound(fleet, random, production, current);
      }
      upgradeAll(fleet, current);
      lower(fleet);
      fleet.finish();
      System.out.printf(
          "rounds %d, jobs %d, controllers rolled %d, level raised %d and lowered %d times,"
              + " production back at level 1 %d times, final answers %d%n",
          ROUNDS,
          fleet.submitted(),
          restarts,
          raises,
          lowerings,
          productionReturnsAtLevel,
          fleet.world.checker.answers().endedJobCount());
      assertEquals(fleet.submitted(), fleet.world.checker.answers().endedJobCount());
    }
  }

  private void runRound(
      ProcessFleet fleet, Random random, ProgramVersion production, ProgramVersion current) {
    int index = random.nextInt(CONTROLLERS);
    boolean up = random.nextInt(3) > 0;
    if (!up && fleet.state().level().value() > 0) {
      if (random.nextBoolean()) {
        lower(fleet);
      } else {
        productionReturnsAtLevel++;
      }
    }
    roll(fleet, index, up ? current : production);
    fleet.runFor(1500 + random.nextInt(3000));
    boolean all = true;
    for (int i = 0; i < CONTROLLERS; i++) {
      all &= fleet.node(i).version() == current;
    }
    if (all && fleet.state().level().value() == 0) {
      raise(fleet);
    }
  }

  private void roll(ProcessFleet fleet, int index, ProgramVersion version) {
    fleet.await("a running controller", () -> fleet.node(index).isUp());
    fleet.restartAs(index, version, 700);
    restarts++;
    fleet.await("n" + index + " to serve", () -> fleet.node(index).isHealthy());
  }

  private void upgradeAll(ProcessFleet fleet, ProgramVersion current) {
    for (int i = 0; i < CONTROLLERS; i++) {
      if (fleet.node(i).version() != current) {
        roll(fleet, i, current);
      }
    }
  }

  private void raise(ProcessFleet fleet) {
    fleet.await(
        "the order to be taken",
        () -> {
          ClientResult run = fleet.runClient("rollout", "finalize", "@", "--timeout=3");
          return run.status() == 0;
        });
    fleet.await("level 1", () -> fleet.state().level().value() == 1);
    raises++;
    fleet.runFor(2500);
  }

  private void lower(ProcessFleet fleet) {
    if (fleet.state().level().value() == 0 && fleet.state().phase() == RolloutPhase.STABLE) {
      return;
    }
    fleet.await(
        "the order to be taken",
        () -> fleet.runClient("rollout", "downgrade", "@", "--timeout=3").status() == 0);
    fleet.await("level 0", () -> fleet.state().level().value() == 0);
    lowerings++;
    assertEquals(0, fleet.world.rollouts.denseRecordCount());
  }
}
