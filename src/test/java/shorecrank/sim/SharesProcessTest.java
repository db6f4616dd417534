package shorecrank.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import shorecrank.config.Settings;
import shorecrank.config.SettingsFile;
import shorecrank.sim.ProcessFleet.Run;

/**
 * Real controllers on loopback with two shards, and an operator with the client: machines move
 * every few seconds under steady load while controllers end. No rule breaks, no start comes from
 * another shard than the machine's, and every job has one final answer.
 */
class SharesProcessTest {
  private static final int MACHINES = 6;
  private static final int CONTROLLERS = 3;
  private static final long MINUTE_MS = 30_000;
  private static final long TEN_MINUTES_MS = 600_000;
  private static final int END_EVERY = 4;

  @TempDir Path dir;
  private ProgramVersion program;
  private Settings tuning;
  private int orders;
  private int accepted;
  private int ended;

  @BeforeEach
  void describe() throws Exception {
    Path settings = Files.writeString(dir.resolve("settings.textproto"), "parts: 2");
    Path rollout = Files.writeString(dir.resolve("rollout.textproto"), "settle_s: 1");
    Path shares =
        Files.writeString(
            dir.resolve("shares.textproto"),
            "automatic: false move_timeout_s: 20 team { name: \"t\" weight: 2 }");
    tuning = SettingsFile.read(Files.readString(settings));
    program =
        ProgramVersions.present(
            "--settings",
            settings.toString(),
            "--rollout",
            rollout.toString(),
            "--shares",
            shares.toString());
  }

  @Test
  void aMinute() throws Exception {
    try (ProcessFleet fleet = new ProcessFleet(1, program, MACHINES, tuning)) {
      fleet.submitEvery(600);
      rise(fleet);
      session(fleet);
      mistakes(fleet);
      moveFor(fleet, MINUTE_MS, new Random(1));
      fleet.finish();
      checkOutcome(fleet);
    }
  }

  /**
   * The jobs ask for more processors than team t may use, and moves at random leave its shard fewer
   * still: a backlog grows for ten minutes, and what is left of it at the end takes its time.
   */
  @Tag("shares")
  @Test
  void tenMinutes() throws Exception {
    try (ProcessFleet fleet = new ProcessFleet(2, program, MACHINES, tuning)) {
      fleet.submitEvery(600);
      rise(fleet);
      moveFor(fleet, TEN_MINUTES_MS, new Random(Long.getLong("seed", 2)));
      fleet.finishBacklog();
      checkOutcome(fleet);
    }
  }

  private static void rise(ProcessFleet fleet) {
    Run early = fleet.client("shares", "move", "@", "--from=0", "--count=1", "--to=1");
    assertEquals(1, early.status(), early.out());
    assertTrue(early.err().contains("feature level in force knows no shares"), early.err());
    // Refused until the leader has heard all controllers.
    fleet.await(
        "the level to rise",
        () -> fleet.client("rollout", "finalize", "@", "--level=2").status() == 0);
    fleet.await(
        "machines to be movable",
        () -> fleet.client("shares", "show", "@").out().startsWith("machines may move"));
    fleet.await("machines of both shards", () -> fleet.world.shares.machinesByShard().size() == 2);
  }

  private static Map<Integer, List<String>> assigned(ProcessFleet fleet) {
    return fleet.world.shares.machinesByShard();
  }

  private void session(ProcessFleet fleet) {
    Run show = fleet.client("shares", "show", "@");
    assertEquals(0, show.status(), show.err());
    assertTrue(show.out().contains("SHARD"), show.out());
    System.out.println(show.out());
    Run dry = fleet.client("shares", "move", "@", "--from=0", "--count=1", "--to=1", "--dry-run");
    assertTrue(dry.out().startsWith("dry run: 1 machines move to 1"), dry.out() + dry.err());
    fleet.serveFor(1500);
    assertEquals(0, fleet.world.shares.state().nextMove() - 1);
    Run set = fleet.client("shares", "set", "@", "--team=u", "--min=8", "--json");
    assertEquals(0, set.status(), set.err());
    assertTrue(set.out().contains("\"accepted\" : true"), set.out());
    // The same order at two controllers is one order, with one answer.
    Run one = fleet.clientOf(0, "shares", "move", "@", "--from=0", "--count=1", "--to=1", "--id=a");
    Run two = fleet.clientOf(1, "shares", "move", "@", "--from=0", "--count=1", "--to=1", "--id=a");
    assertEquals(0, one.status(), one.err());
    assertEquals(one, two);
    assertEquals(2, fleet.world.shares.state().nextMove());
    fleet.await("the end of the move", () -> fleet.world.shares.state().active().isEmpty());
    fleet.serveFor(500);
  }

  private static void mistakes(ProcessFleet fleet) {
    for (List<String> words :
        List.of(
            List.of("shares", "move", "@"),
            List.of("shares", "move", "@", "--to=0"),
            List.of("shares", "move", "@", "--to=-1", "--machine=n-000001"),
            List.of("shares", "move", "@", "--to=0", "--machine=n-000001", "--count=1"),
            List.of("shares", "set", "@", "--team=t"),
            List.of("shares", "set", "@", "--team=t", "--weight=heavy"),
            List.of("shares", "abort", "@"))) {
      Run run = fleet.client(words.toArray(String[]::new));
      assertEquals(2, run.status(), words.toString());
      assertEquals(1, run.err().strip().lines().count(), run.err());
    }
    for (List<String> words :
        List.of(
            List.of("shares", "move", "@", "--to=9", "--machine=n-000001"),
            List.of("shares", "move", "@", "--to=0", "--machine=nobody"),
            List.of("shares", "set", "@", "--team=t", "--weight=-1"),
            List.of("shares", "set", "@", "--team=t", "--min=100000"),
            List.of("shares", "set", "@", "--team=x", "--min=1"),
            List.of("shares", "abort", "@", "--move=99"))) {
      Run run = fleet.client(words.toArray(String[]::new));
      assertEquals(1, run.status(), words.toString() + run.out());
      assertEquals(1, run.err().strip().lines().count(), run.err());
    }
  }

  private void moveFor(ProcessFleet fleet, long ms, Random random) {
    long end = fleet.world.sim.now() + ms;
    for (int round = 1; fleet.world.sim.now() < end; round++) {
      order(fleet, random);
      if (round % END_EVERY == 0) {
        int index = random.nextInt(CONTROLLERS);
        fleet.node(index).crash(random.nextBoolean() ? 300 : 1500);
        ended++;
      }
      fleet.serveFor(1500 + random.nextInt(2500));
    }
  }

  /** Some machines go to the other shard, by an order of this client's. */
  private void order(ProcessFleet fleet, Random random) {
    int from = random.nextInt(2);
    List<String> there = new ArrayList<>(assigned(fleet).getOrDefault(from, List.of()));
    int count = Math.min(there.size() - 1, 1 + random.nextInt(2));
    if (count < 1) {
      return;
    }
    orders++;
    Run run =
        fleet.client(
            "shares",
            "move",
            "@",
            "--timeout=20",
            "--to=" + (1 - from),
            "--from=" + from,
            "--count=" + count);
    // Machines that are moving already can't be ordered again; that is said.
    assertTrue(run.status() == 0 || run.status() == 1, run.err());
    accepted += run.status() == 0 ? 1 : 0;
  }

  private void checkOutcome(ProcessFleet fleet) {
    long done =
        fleet.world.shares.state().nextMove() - 1 - fleet.world.shares.state().active().size();
    int tasks = fleet.world.jobs.taskCount();
    System.out.printf(
        "jobs %d, tasks %d, starts %d, final answers %d; orders %d, accepted %d, moves ended %d;"
            + " controllers ended %d times%n",
        fleet.submitted(),
        tasks,
        fleet.world.checker.tasks().starts(),
        fleet.world.checker.answers().endedJobCount(),
        orders,
        accepted,
        done,
        ended);
    assertEquals(fleet.submitted(), fleet.world.checker.answers().endedJobCount());
    assertTrue(done > 0, "no machine has moved");
    assertTrue(fleet.world.checker.tasks().starts() <= tasks, "tasks were started again");
  }
}
