package shorecrank.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against tasks that run on two machines, or run again after their cancellation: a
 * controller or a machine is back, and then a late copy of a direct start command that was carried
 * out and answered before reaches the machine once more.
 */
class LateStartCopiesTest {
  private static final long SEEDS = 2;

  /**
   * When the trouble begins: while tasks start, exit or are stopped, soon after, and well after.
   */
  private static final double[] TROUBLE_S = {14.3, 15.6, 17, 21};

  /** Time from the beginning of the trouble until a first heartbeat may follow, less than 0.8 s. */
  private static final double BEFORE_FIRST_HEARTBEAT_S = 0.5;

  private static final double AFTER_FIRST_HEARTBEATS_S = 24;

  private static final String FLEET =
      """
      controllers 3
      workers heartbeat=3 lease=12 cancel=20
      type p8 cpus=8 memory=32 boot=20 zones=a,b
       machines p8 a 2
       machines p8 b 2
      capacity 4
      """;

  /** What has become of the tasks that the commands started. */
  enum Tasks {
    /** They have ended and are reaped. */
    REAPED("at 10 submit wk-1 tasks=24 cpus=1 run=3\n"),
    /** They were preempted and start again in other attempts. */
    MOVED(
        "at 10 submit wk-1 tasks=32 cpus=1 run=40 priority=low\n"
            + "at 13.5 submit wk-2 tasks=8 cpus=4 run=25 priority=urgent\n"),
    /** Their job was cancelled. */
    CANCELLED("at 10 submit wk-1 tasks=24 cpus=1 run=60\nat 13.5 cancel wk-1\n");

    private final String lines;

    Tasks(String lines) {
      this.lines = lines;
    }
  }

  /** What comes back. */
  enum Returns {
    /** The owner, as a new process under the same label. */
    CONTROLLER("at %1$s crash owner 0.3\n", 0),
    /** The machines, in the same session. */
    MACHINE("at %1$s hang all 0.8\n", 0),
    /** The machines, in a new session. */
    MACHINE_NEW_SESSION("at %1$s hang all 12.6\n", 11.8),
    /** The owner and the machines, in the same session. */
    BOTH("at %1$s crash owner 0.3\nat %1$s hang all 0.8\n", 0),
    /** The owner and the machines, in a new session. */
    BOTH_NEW_SESSION("at %1$s crash owner 0.3\nat %1$s hang all 12.6\n", 11.8);

    private final String lines;
    private final double longerS;

    Returns(String lines, double longerS) {
      this.lines = lines;
      this.longerS = longerS;
    }
  }

  /** Returns all combinations of tasks, returns, and whether the copy precedes the heartbeat. */
  static List<Arguments> cells() {
    List<Arguments> cells = new ArrayList<>();
    for (Tasks tasks : Tasks.values()) {
      for (Returns returns : Returns.values()) {
        cells.add(Arguments.of(tasks, returns, true));
        cells.add(Arguments.of(tasks, returns, false));
      }
    }
    return cells;
  }

  @ParameterizedTest(name = "{0} {1}, copy before the first heartbeat: {2}")
  @MethodSource("cells")
  void aLateCopyOfACarriedOutStartHasNoEffect(
      Tasks tasks, Returns returns, boolean isBeforeFirstHeartbeat) throws Exception {
    for (double troubleS : TROUBLE_S) {
      double copyS =
          troubleS
              + (isBeforeFirstHeartbeat
                  ? BEFORE_FIRST_HEARTBEAT_S + returns.longerS
                  : AFTER_FIRST_HEARTBEATS_S);
      String text =
          FLEET
              + tasks.lines
              + returns.lines.formatted(troubleS)
              + "at %s repeat-starts\n".formatted(copyS)
              + "until 75\n";
      for (long seed = 1; seed <= SEEDS; seed++) {
        Scenario scenario = new Scenario("late-copies", text);
        String run = "trouble at " + troubleS + " s, seed " + seed;
        assertEquals(List.of(), scenario.play(seed, false), run);
        assertTrue(scenario.world().network.carriedOutStarts().copies() > 0, run + ": no copy");
      }
    }
  }
}
