import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A user submits jobs, polls them until they are done, and then submits one that needs all of them.
 * With TROUBLE=0 that one names only four.
 */
final class RollUpCase {
  private static final int JOBS = 200;
  private static final int FEW = 4;
  private static final double POLL_UNTIL_S = 70;

  public static void main(String[] args) throws Exception {
    int status = 2;
    try (Rig rig = new Rig(new Rig.Site(), Path.of(args[0]))) {
      rig.limit(117);
      if (rig.start()) {
        List<String> ids = submitAll(rig);
        // The user's connection stays open, so all its requests reach the same node.
        Rig.Controller node = rig.next();
        if (ids.size() == JOBS && pollUntilDone(rig, node, ids)) {
          status = submitLast(rig, node, ids);
        }
      }
    }
    System.exit(status);
  }

  private static List<String> submitAll(Rig rig) {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      String id = String.format("wk-%06d", 100_000 + i);
      if (rig.submit(rig.job(id, 1, 1, 0.5, List.of())).status() == 201) {
        ids.add(id);
      }
      Rig.sleep(0.04);
    }
    return ids;
  }

  private static boolean pollUntilDone(Rig rig, Rig.Controller node, List<String> ids) {
    List<String> left = new ArrayList<>(ids);
    while (!left.isEmpty() && rig.now() < POLL_UNTIL_S) {
      List<String> asked = List.copyOf(left);
      for (String id : asked) {
        Rig.Answer answer = rig.call("GET", node.users, "/api/jobs/" + id, null, 2);
        rig.log("poll %s at %s -> %d %s", id, node.label, answer.status(), answer.body());
        if (answer.body().path("phase").asText().equals("done")) {
          left.remove(id);
        }
        Rig.sleep(0.01);
      }
      Rig.sleep(left.isEmpty() ? 0 : 2);
    }
    rig.log("%d jobs not done, controllers ended by themselves: %d", left.size(),
        rig.endedByThemselves());
    return left.isEmpty() && rig.endedByThemselves() == 0;
  }

  private static int submitLast(Rig rig, Rig.Controller first, List<String> ids) {
    String last = "wk-200000";
    List<String> needs = Rig.hasTrouble() ? ids : ids.subList(0, FEW);
    String body = rig.job(last, 1, 1, 0.5, needs).toString();
    rig.log("submission of %s names %d jobs and has %d bytes", last, needs.size(), body.length());
    Rig.Controller to = first;
    double until = Math.min(rig.now() + 40, 105);
    while (rig.now() < until) {
      Rig.Answer answer = rig.call("POST", to.users, "/api/jobs", body, 5);
      rig.log("submit %s at %s -> %d %s", last, to.label, answer.status(), answer.body());
      if (answer.status() == 201 || answer.status() == 200) {
        break;
      }
      Rig.sleep(1);
      if (answer.status() == 0) {
        to = rig.next();
      }
    }
    Rig.sleep(5);
    rig.poll(last);
    return rig.verdict(true);
  }
}
