package shorecrank.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import shorecrank.protocol.RolloutMessages.RolloutPhase;
import shorecrank.sim.ProcessFleet.ClientResult;

/**
 * An operator uses the client with real controllers to raise the feature level, to create an
 * archive, and to lower the level again.
 */
class RolloutProcessTest {
  @TempDir Path dir;

  @Test
  void anOperatorRaisesArchivesAndLowersTheLevel() throws Exception {
    Path settings = dir.resolve("rollout.textproto");
    Files.writeString(settings, "settle_s: 2 archives_kept: 1 rewrites_per_s: 50");
    ProgramVersion current = ProgramVersions.current("--rollout", settings.toString());
    try (ProcessFleet fleet = new ProcessFleet(1, current, 4)) {
      fleet.submitEvery(700);
      fleet.runFor(3000);
      raiseLevel(fleet);
      createAndCompareArchive(fleet);
      rejectInvalidCommands(fleet);
      lowerLevel(fleet);
      fleet.finish();
    }
  }

  private static void raiseLevel(ProcessFleet fleet) {
    assertTrue(fleet.runClient("rollout", "status", "@").out().startsWith("level 0, stable"));
    ClientResult order = fleet.runClientAt(0, "rollout", "finalize", "@", "--level=1", "--id=up");
    assertEquals(0, order.status(), order.err());
    // The same order id at another controller gets the same answer and has no further effect.
    ClientResult again = fleet.runClientAt(1, "rollout", "finalize", "@", "--level=1", "--id=up");
    assertEquals(order, again);
    fleet.await("level 1", () -> fleet.state().level().value() == 1);
    fleet.await("a dense record", () -> fleet.world.rollouts.denseRecordCount() > 0);
    assertEquals(1, fleet.world.checker.rollout().rises());
    fleet.runFor(1500);
    String[] statusLines = new String[3];
    for (int i = 0; i < 3; i++) {
      statusLines[i] =
          fleet.runClientAt(i, "rollout", "status", "@").out().lines().findFirst().orElse("");
      assertEquals("level 1, stable, written at most 1", statusLines[i]);
    }
  }

  private void createAndCompareArchive(ProcessFleet fleet) throws Exception {
    Path file = dir.resolve("keys.tar.zst");
    ClientResult create = fleet.runClient("archive", "create", "@", file.toString());
    assertEquals(0, create.status(), create.err());
    assertTrue(create.out().contains("as they were at revision"), create.out());
    assertEquals(create.out(), fleet.runClient("archive", "verify", file.toString()).out());
    fleet.runFor(1500);
    ClientResult diff = fleet.runClient("archive", "diff", "@", file.toString());
    assertEquals(1, diff.status(), diff.out() + diff.err());
    assertTrue(diff.out().contains("differ"), diff.out());
    byte[] bytes = Files.readAllBytes(file);
    bytes[bytes.length / 2] ^= 1;
    Path damaged = Files.write(dir.resolve("damaged.tar.zst"), bytes);
    ClientResult verify = fleet.runClient("archive", "verify", damaged.toString());
    assertEquals(1, verify.status());
    assertEquals(1, verify.err().strip().lines().count(), verify.err());
  }

  private static void rejectInvalidCommands(ProcessFleet fleet) {
    for (List<String> words :
        List.of(
            List.of("rollout", "finalise", "@"),
            List.of("rollout", "finalize", "@", "--level=-3"),
            List.of("rollout", "finalize", "@", "--level=x"))) {
      ClientResult run = fleet.runClient(words.toArray(String[]::new));
      assertEquals(2, run.status(), words.toString());
      assertEquals(1, run.err().strip().lines().count(), run.err());
    }
    ClientResult tooHigh = fleet.runClient("rollout", "finalize", "@", "--level=9");
    assertEquals(1, tooHigh.status());
    assertTrue(tooHigh.err().contains("out of range"), tooHigh.err());
    ClientResult abortWhenStable = fleet.runClient("rollout", "abort", "@");
    assertEquals(1, abortWhenStable.status());
    assertTrue(abortWhenStable.err().contains("nothing is under way"), abortWhenStable.err());
  }

  private static void lowerLevel(ProcessFleet fleet) {
    ClientResult order = fleet.runClient("rollout", "downgrade", "@", "--json", "--id=down");
    assertEquals(0, order.status(), order.err());
    assertTrue(order.out().contains("\"accepted\" : true"), order.out());
    fleet.await(
        "level 0",
        () -> fleet.state().level().value() == 0 && fleet.state().phase() == RolloutPhase.STABLE);
    assertEquals(0, fleet.world.rollouts.denseRecordCount());
  }
}
