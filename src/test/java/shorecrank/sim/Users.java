package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import shorecrank.protocol.Json;
import shorecrank.sim.World.Node;

/** The users: they submit jobs, ask about them, cancel some, and repeat what was not answered. */
final class Users {
  private final World world;
  private long cancelAtEndUntil = -1;
  private double cancelAtEndShare;
  private long closeLooksUntil = -1;
  private long oddUntil = -1;

  Users(World world) {
    this.world = world;
  }

  private JsonNode spec(String id, JobPlan p) {
    ObjectNode n =
        Json.object().put("nameId", id).put("jobclass", p.jobClass()).put("owner", p.team());
    n.put("shape", "array").put("urgency", p.priority()).put("pieces", p.tasks());
    n.put("cpus", p.cpus()).put("accelerators", 0.0).put("memoryGb", p.memoryGb());
    n.put("bundle", p.image()).put("pullGb", p.fetchS());
    if (p.machineType() == null) {
      n.putNull("hosttypes");
    } else {
      n.putArray("hosttypes").add(p.machineType());
    }
    n.put("site", p.zone()).put("together", p.together()).put("spread", p.spread());
    n.put("loaner", p.spot()).put("guessS", p.runS());
    n.put("snapshotEveryS", p.checkpoints() ? 5.0 : 0.0).put("snapshotS", p.checkpointS());
    if (p.dueS() > 0) {
      n.put("dueS", p.dueS());
    } else {
      n.putNull("dueS");
    }
    if (!p.dependencies().isEmpty()) {
      var a = n.putArray("prereqs");
      p.dependencies().forEach(a::add);
    }
    return n;
  }

  private void userCall(
      String what,
      String id,
      String method,
      String path,
      JsonNode body,
      int timeoutMs,
      BiConsumer<Integer, JsonNode> then) {
    userCall(null, what, id, method, path, body, timeoutMs, then);
  }

  private void userCall(
      Node chosen,
      String what,
      String id,
      String method,
      String path,
      JsonNode body,
      int timeoutMs,
      BiConsumer<Integer, JsonNode> then) {
    // The load balancer skips a node it has found dead.
    List<Node> healthy =
        world.nodes.stream().filter(x -> x.up || world.sim.now - x.downSince < 3000).toList();
    List<Node> among = healthy.isEmpty() ? world.nodes : healthy;
    Node n = chosen != null ? chosen : among.get(world.sim.random.nextInt(among.size()));
    long asked = world.sim.now;
    Checker.Told before = world.checker.toldSoFar(id);
    boolean[] over = new boolean[1];
    BiConsumer<Integer, JsonNode> once =
        (s, b) -> {
          if (!over[0]) {
            over[0] = true;
            if (s != 0) {
              world.checker.answer(what, id, s, b, before);
              lookClosely(what, id, s, b);
            }
            world.checker.asked(id, asked, s == 200 || s == 201 || s == 404);
            then.accept(s, b);
          }
        };
    world.sim.after(timeoutMs, () -> once.accept(0, Json.parse(null)));
    if (world.unheard.contains(id)) {
      return;
    }
    world.through(
        world.regionalCut(n, "users"),
        () ->
            world.request(
                n,
                false,
                method,
                path,
                body,
                (s, b) -> world.sim.after(1, () -> once.accept(s, b))));
  }

  /** Users ask at all nodes within milliseconds, and repeat the submission. */
  private void lookClosely(String what, String id, int status, JsonNode body) {
    boolean news =
        (what.equals("submit") && status == 201)
            || (status == 200 && world.checker.endsNow(id, body.path("phase").asText()));
    if (!news || world.sim.now >= closeLooksUntil) {
      return;
    }
    for (int i = 0; i < 12; i++) {
      Node n = world.nodes.get(i % world.nodes.size());
      int again = i;
      world.sim.after(
          1 + i * 3L + world.sim.random.nextInt(5),
          () -> {
            if (again % 4 == 3) {
              userCall(
                  n,
                  "submit",
                  id,
                  "POST",
                  "/api/jobs",
                  spec(id, world.plans.get(id)),
                  5000,
                  IGNORE);
            } else {
              userCall(n, "look", id, "GET", "/api/jobs/" + id, null, 2000, IGNORE);
            }
          });
    }
  }

  private static final BiConsumer<Integer, JsonNode> IGNORE = (s, b) -> {};

  void closeLooks(long ms) {
    closeLooksUntil = world.sim.now + ms;
  }

  /** That share of the jobs that end is called off at the moment of the end. */
  void cancelAtEnd(double share, long ms) {
    cancelAtEndShare = share;
    cancelAtEndUntil = world.sim.now + ms;
  }

  /** A task's result is there; called by world.workers. */
  void result(String piece) {
    world.results.add(piece);
    String id = piece.substring(0, piece.lastIndexOf('/'));
    if (world.sim.now >= cancelAtEndUntil || world.sim.random.nextDouble() >= cancelAtEndShare) {
      return;
    }
    for (int i = 0; i < world.plans.get(id).tasks(); i++) {
      if (!world.results.contains(id + "/" + i)) {
        return;
      }
    }
    world.sim.after(world.sim.random.nextInt(400), () -> cancel(id));
  }

  /** So many running jobs are called off within a fifth of a second; their machines may hang. */
  void cancelNow(int count, long hangMs) {
    Set<Worker> hang = new HashSet<>();
    List<String> running =
        world.plans.keySet().stream()
            .filter(j -> !world.cancelAsked.contains(j) && world.runs(j) != null)
            .toList();
    for (String j : running.subList(0, Math.min(count, running.size()))) {
      world.workers.values().stream()
          .filter(w -> w.running().stream().anyMatch(t -> t.job().equals(j)))
          .limit(8 - Math.min(8, hang.size()))
          .forEach(hang::add);
      world.sim.after(world.sim.random.nextInt(200), () -> cancel(j));
    }
    if (hangMs > 0) {
      world.checker.trouble(world.sim.now + hangMs);
      hang.forEach(w -> w.hang(hangMs));
    }
  }

  /** Submissions repeated, done jobs cancelled, jobs that fit no machine or lack a field. */
  void oddRequests(long ms) {
    oddUntil = world.sim.now + ms;
    odd(900_000);
  }

  private void odd(int number) {
    if (world.sim.now >= oddUntil) {
      return;
    }
    List<String> all = List.copyOf(world.submitted);
    if (!all.isEmpty()) {
      String id = all.get(world.sim.random.nextInt(all.size()));
      if (world.checker.told(id).equals("done")) {
        userCall("cancel", id, "POST", "/api/jobs/" + id + "/abort", Json.object(), 5000, IGNORE);
      } else if (world.checker.accepted(id)) {
        userCall("submit", id, "POST", "/api/jobs", spec(id, world.plans.get(id)), 5000, IGNORE);
      }
    }
    String id = "wk-" + number;
    ObjectNode bad = (ObjectNode) spec(id, JobPlan.builder().build());
    bad.put("owner", world.teamMax.keySet().iterator().next());
    int expected = 400;
    switch (number % 3) {
      case 0 -> {
        bad.put("cpus", 5000.0);
        expected = 422;
      }
      case 1 -> bad.remove("guessS");
      default -> bad.put("pieces", "many");
    }
    int wanted = expected;
    userCall(
        "odd",
        id,
        "POST",
        "/api/jobs",
        bad,
        5000,
        (s, b) -> {
          if (s == 200 || s == 201 || ((s == 400 || s == 422) && s != wanted)) {
            world.checker.broken("odd: " + id + " gets " + s + " instead of " + wanted);
          }
        });
    world.sim.after(400 + world.sim.random.nextInt(400), () -> odd(number + 1));
  }

  void submit(String id, JobPlan p) {
    world.plans.put(id, p);
    world.submitted.add(id);
    world.checker.submitted(id);
    submitTry(id, spec(id, p), world.sim.now + 60_000, true);
    if (p.jobClass().equals(cancelEachClass)) {
      world.sim.after(cancelEachAfter, () -> cancel(id));
    }
  }

  private String cancelEachClass = "";
  private long cancelEachAfter;

  void cancelEach(String jobClass, long afterMs) {
    cancelEachClass = jobClass;
    cancelEachAfter = afterMs;
  }

  /** Asks again for a job that may be long over. */
  void resubmit(String id) {
    submitTry(id, spec(id, world.plans.get(id)), world.sim.now + 60_000, false);
  }

  /** Asks again at one controller. */
  void resubmitAt(Node node, String id) {
    userCall(node, "submit", id, "POST", "/api/jobs", spec(id, world.plans.get(id)), 5000, IGNORE);
  }

  private void submitTry(String id, JsonNode body, long until, boolean polls) {
    userCall(
        "submit",
        id,
        "POST",
        "/api/jobs",
        body,
        5000,
        (s, b) -> {
          if (s == 200 || s == 201) {
            if (polls) {
              world.sim.after(world.sim.random.nextInt(3000), () -> poll(id));
            }
          } else if (s != 400 && s != 422 && world.sim.now < until) {
            world.sim.after(1000, () -> submitTry(id, body, until, polls));
          } else {
            statuses.put(id, s);
            if (s != 400 && s != 422 && world.checker.troubled()) {
              gaveUp.add(id);
            }
          }
        });
  }

  /** Jobs whose users gave up submitting while there still were troubles. */
  final Set<String> gaveUp = new HashSet<>();

  final Map<String, Integer> statuses = new HashMap<>();

  private void poll(String id) {
    if (world.checker.told(id).equals("done") || world.checker.told(id).equals("withdrawn")) {
      // Some ask again at any later time.
      world.sim.after(15_000, () -> ask(id));
      return;
    }
    ask(id);
    world.sim.after(5000, () -> poll(id));
  }

  void ask(String id) {
    userCall("poll", id, "GET", "/api/jobs/" + id, null, 2000, (s, b) -> statuses.put(id, s));
  }

  void cancel(String id) {
    world.cancelAsked.add(id);
    cancelTry(id, world.sim.now + 60_000);
  }

  private void cancelTry(String id, long until) {
    userCall(
        "cancel",
        id,
        "POST",
        "/api/jobs/" + id + "/abort",
        Json.object(),
        5000,
        (s, b) -> {
          if (s != 200 && world.sim.now < until) {
            world.sim.after(1000, () -> cancelTry(id, until));
          }
        });
  }
}
