import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A pipeline of jobs each of which needs the one before it; while the first runs, its user cancels
 * it. With TROUBLE=0 nobody cancels.
 */
final class ChainCase {
  private static final int JOBS = 190;
  private static final int FEWEST_JOBS = 186;
  private static final double SUBMIT_UNTIL_S = 109;
  private static final double OBSERVE_UNTIL_S = 117;
  private static final double OBSERVE_S = 14;
  private static final int HIGHEST_ID = 900_000;

  /** Reads a second that the owner of the shard, and another controller, allow themselves. */
  private static final double OWNER_READS_PER_S = 138;

  private static final double READS_PER_S = 44;

  public static void main(String[] args) throws Exception {
    int status = 2;
    try (Rig rig = new Rig(new Rig.Site(), Path.of(args[0]))) {
      rig.limit(119);
      if (rig.start() && submitAll(rig)) {
        status = observe(rig);
      }
    }
    System.exit(status);
  }

  private static String id(int index) {
    return String.format("wk-%06d", HIGHEST_ID - index);
  }

  /**
   * A submission costs a read of each job before it, and each controller has its share of the state
   * service's requests: the next submission goes to the one that is free first.
   */
  private static boolean submitAll(Rig rig) {
    String owner = rig.state.value("part/0").path("label").asText();
    double[] freeAt = new double[rig.controllers.size()];
    int accepted = 0;
    while (accepted < JOBS && rig.now() < SUBMIT_UNTIL_S) {
      List<String> needs = new ArrayList<>();
      if (accepted > 0) {
        needs.add(id(accepted - 1));
      }
      String body = rig.job(id(accepted), 1, 1, accepted == 0 ? 600 : 1, needs).toString();
      int to = 0;
      for (int i = 1; i < freeAt.length; i++) {
        to = freeAt[i] < freeAt[to] ? i : to;
      }
      Rig.sleep(Math.max(0, freeAt[to] - rig.now()));
      Rig.Controller node = rig.controllers.get(to);
      double began = rig.now();
      Rig.Answer answer = rig.call("POST", node.users, "/api/jobs", body, 5);
      rig.log("submit %s at %s -> %d %s", id(accepted), node.label, answer.status(), answer.body());
      double rate = node.label.equals(owner) ? OWNER_READS_PER_S : READS_PER_S;
      freeAt[to] = began + accepted / rate;
      if (answer.status() == 200 || answer.status() == 201) {
        accepted++;
      } else if (answer.status() != 400 && answer.status() != 422) {
        freeAt[to] = rig.now() + 1;
      } else {
        return false;
      }
    }
    rig.log("%d jobs accepted, controllers ended by themselves: %d", accepted,
        rig.endedByThemselves());
    return accepted >= FEWEST_JOBS && rig.endedByThemselves() == 0;
  }

  private static int observe(Rig rig) {
    Rig.sleep(1);
    if (Rig.hasTrouble()) {
      rig.cancel(id(0));
    }
    Rig.sleep(1);
    String other = "wk-000007";
    rig.threads.execute(() -> rig.submit(rig.job(other, 1, 1, 0.5, List.of())));
    double until = Math.min(OBSERVE_UNTIL_S, rig.now() + OBSERVE_S);
    while (rig.now() < until) {
      Rig.sleep(2);
      rig.poll(other);
      rig.log("ended by themselves %d, unfinished records %d", rig.endedByThemselves(),
          rig.state.keys("j/").size());
    }
    rig.log("tasks of %s done: %d", other, rig.doneTasks.getOrDefault(other, 0));
    return rig.verdict(true);
  }
}
