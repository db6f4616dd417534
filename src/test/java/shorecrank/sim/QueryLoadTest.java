package shorecrank.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Plays the grid of {@link QueryLoad} and prints a line for each cell: how many jobs stayed without
 * an answer for 75 s after the faults, and why queries were not answered.
 */
class QueryLoadTest {
  private static final int[] CONTROLLERS = {3, 7};
  private static final int[] OPERATIONS = {5, 16, 48};
  private static final int[] REQUESTS_PER_S = {70, 250};
  private static final boolean[] CHANGING = {false, true};
  private static final int[] DEPENDENCIES = {0, 20, 80};
  private static final int[] SHARDS = {1, 3};
  private static final int FAULTS = 5;
  private static final long SEED = 1;

  /** Plays every combination of limits and jobs; faults and shards take turns. */
  @Tag("scale")
  @Test
  void noJobStaysUnansweredInAnyCell() throws Exception {
    play(cells(Integer.getInteger("jobs", 2400)));
  }

  /** Plays the most demanding limits with as many jobs as 4,000 machines run. */
  @Tag("scale")
  @Test
  void noJobOfFourThousandMachinesStaysUnanswered() throws Exception {
    List<QueryLoad> loads = new ArrayList<>();
    for (int fault = 0; fault < FAULTS; fault++) {
      loads.add(new QueryLoad(7, 5, 250, fault % 2 == 0, fault, 20, 1, 4000));
    }
    loads.add(new QueryLoad(3, 5, 250, true, 3, 80, 1, 4000));
    loads.add(new QueryLoad(7, 16, 250, true, 4, 80, 3, 4000));
    play(loads);
  }

  private static List<QueryLoad> cells(int jobs) {
    List<QueryLoad> loads = new ArrayList<>();
    for (int controllers : CONTROLLERS) {
      for (int operations : OPERATIONS) {
        for (int requestsPerS : REQUESTS_PER_S) {
          for (boolean isChanging : CHANGING) {
            for (int dependencies : DEPENDENCIES) {
              int number = loads.size();
              int shards = SHARDS[number / 2 % SHARDS.length];
              loads.add(
                  new QueryLoad(
                      controllers,
                      operations,
                      requestsPerS,
                      isChanging,
                      number % FAULTS,
                      dependencies,
                      shards,
                      jobs));
            }
          }
        }
      }
    }
    return loads;
  }

  private static void play(List<QueryLoad> loads) throws Exception {
    ExecutorService threads = Executors.newFixedThreadPool(Integer.getInteger("parallel", 3));
    List<QueryLoad> red = new ArrayList<>();
    try {
      List<Future<QueryLoad.Outcome>> runs = new ArrayList<>();
      for (QueryLoad load : loads) {
        runs.add(threads.submit(() -> load.play(SEED)));
      }
      for (Future<QueryLoad.Outcome> run : runs) {
        QueryLoad.Outcome outcome = run.get();
        System.out.printf(
            "%s %s faults %s: forgotten %d %s %s%n",
            outcome.isGreen() ? "green" : "red",
            outcome.load(),
            outcome.load().faults(),
            outcome.forgottenJobs(),
            outcome.otherViolation(),
            outcome.why());
        if (!outcome.isGreen()) {
          red.add(outcome.load());
        }
      }
    } finally {
      threads.shutdownNow();
    }
    assertEquals(List.of(), red);
  }
}
