package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import shorecrank.sim.UserRequest.Kind;

/** What users do for a while that is hard on the service. */
final class UserBehavior {
  private static final int BURST_REQUESTS = 12;
  private static final long BURST_INTERVAL_MS = 3;
  private static final int BURST_JITTER_MS = 5;

  /** Each fourth close look submits the job again. */
  private static final int SUBMIT_EVERY_NTH = 4;

  private static final int CANCEL_AT_END_WITHIN_MS = 400;
  private static final int CANCEL_NOW_WITHIN_MS = 200;
  private static final int MAX_HANGING_MACHINES = 8;
  private static final int FIRST_MALFORMED_JOB = 900_000;
  private static final int MALFORMED_INTERVAL_MS = 400;
  private static final double TOO_MANY_CPUS = 5000;

  private final World world;
  private final Simulation sim;
  private final Set<String> seenPhases = new HashSet<>();
  private long burstsUntilMs = -1;
  private long cancelAtEndUntilMs = -1;
  private double cancelAtEndShare;
  private long unusualRequestsUntilMs = -1;
  private String cancelledJobClass = "";
  private long cancelledAfterMs;

  UserBehavior(World world) {
    this.world = world;
    this.sim = world.sim;
  }

  private UserClient client() {
    return world.users.client();
  }

  // ---- close looks -----------------------------------------------------------------------------

  /** For a while users ask all controllers within milliseconds of any news of their jobs. */
  void queryAllControllersFor(long durationMs) {
    burstsUntilMs = sim.now() + durationMs;
  }

  /** A user has an answer: acceptance and end of a job are news. */
  void answered(UserRequest request, int status, JsonNode body) {
    String job = request.job();
    boolean accepted = request.kind() == Kind.SUBMIT && status == 201;
    boolean isNews = accepted || (status == 200 && isNewEnd(job, body.path("phase").asText()));
    if (!isNews || sim.now() >= burstsUntilMs) {
      return;
    }
    List<ControllerNode> nodes = world.controllers();
    for (int i = 0; i < BURST_REQUESTS; i++) {
      ControllerNode node = nodes.get(i % nodes.size());
      boolean submits = i % SUBMIT_EVERY_NTH == SUBMIT_EVERY_NTH - 1;
      sim.after(
          1 + i * BURST_INTERVAL_MS + sim.random().nextInt(BURST_JITTER_MS),
          () -> sendBurstRequest(node, job, submits));
    }
  }

  /** Whether this phase is an end that no user was told of before. */
  private boolean isNewEnd(String job, String phase) {
    return seenPhases.add(job + phase) && AnswerHistory.isFinalPhase(phase);
  }

  private void sendBurstRequest(ControllerNode node, String job, boolean submits) {
    UserRequest request =
        submits ? UserRequest.submit(job, world.jobs.plan(job)) : UserRequest.query(job);
    client().send(node, request, ReplyHandler.IGNORE);
  }

  // ---- cancellations ---------------------------------------------------------------------------

  /** That share of the jobs that end is cancelled at the moment of the end. */
  void cancelAtEnd(double share, long durationMs) {
    cancelAtEndShare = share;
    cancelAtEndUntilMs = sim.now() + durationMs;
  }

  /** A task of the job has completed. */
  void completed(String job) {
    if (sim.now() >= cancelAtEndUntilMs || sim.random().nextDouble() >= cancelAtEndShare) {
      return;
    }
    if (world.jobs.hasAllResults(job)) {
      sim.after(sim.random().nextInt(CANCEL_AT_END_WITHIN_MS), () -> world.users.cancel(job));
    }
  }

  /** Each new job of a class is cancelled so long after it came; an empty class ends that. */
  void cancelEach(String jobClass, long afterMs) {
    cancelledJobClass = jobClass;
    cancelledAfterMs = afterMs;
  }

  /** A new job was submitted. */
  void submitted(String job, JobPlan plan) {
    if (plan.jobClass().equals(cancelledJobClass)) {
      sim.after(cancelledAfterMs, () -> world.users.cancel(job));
    }
  }

  /** So many running jobs are cancelled within a moment; their machines may hang. */
  void cancelNow(int count, long hangMs) {
    Set<SimulatedWorker> hanging = new HashSet<>();
    List<String> running =
        world.jobs.ids().stream()
            .filter(job -> !world.jobs.isCancelRequested(job))
            .filter(job -> world.workerRunning(job).isPresent())
            .limit(count)
            .toList();
    for (String job : running) {
      world.workers().stream()
          .filter(worker -> worker.tasks().runs(job))
          .limit(MAX_HANGING_MACHINES - Math.min(MAX_HANGING_MACHINES, hanging.size()))
          .forEach(hanging::add);
      sim.after(sim.random().nextInt(CANCEL_NOW_WITHIN_MS), () -> world.users.cancel(job));
    }
    if (hangMs > 0) {
      world.faults.addFault(hangMs);
      hanging.forEach(worker -> worker.hang(hangMs));
    }
  }

  // ---- odd requests ----------------------------------------------------------------------------

  /** Submissions repeated, done jobs cancelled, jobs that fit no machine or lack a field. */
  void sendUnusualRequestsFor(long durationMs) {
    unusualRequestsUntilMs = sim.now() + durationMs;
    sendUnusual(FIRST_MALFORMED_JOB);
  }

  private void sendUnusual(int number) {
    if (sim.now() >= unusualRequestsUntilMs) {
      return;
    }
    repeatRandomRequest();
    sendMalformed(number);
    sim.after(
        MALFORMED_INTERVAL_MS + sim.random().nextInt(MALFORMED_INTERVAL_MS),
        () -> sendUnusual(number + 1));
  }

  private void repeatRandomRequest() {
    List<String> all = world.jobs.idsInStableOrder();
    if (all.isEmpty()) {
      return;
    }
    String job = all.get(sim.random().nextInt(all.size()));
    if (world.checker.answers().phase(job).equals(AnswerHistory.DONE)) {
      client().send(UserRequest.cancel(job), ReplyHandler.IGNORE);
    } else if (world.checker.answers().isAccepted(job)) {
      client().send(UserRequest.submit(job, world.jobs.plan(job)), ReplyHandler.IGNORE);
    }
  }

  private void sendMalformed(int number) {
    String job = "wk-" + number;
    ObjectNode description = UserRequest.write(job, JobPlan.builder().build());
    description.put("owner", world.site.teams().keySet().iterator().next());
    switch (number % 3) {
      case 0 -> description.put("cpus", TOO_MANY_CPUS);
      case 1 -> description.remove("guessS");
      default -> description.put("pieces", "many");
    }
    int expected = number % 3 == 0 ? 422 : 400;
    client()
        .send(
            UserRequest.malformed(job, description),
            (status, body) -> {
              boolean accepted = status == 200 || status == 201;
              boolean otherRefusal = (status == 400 || status == 422) && status != expected;
              if (accepted || otherRefusal) {
                world.checker.report("odd: %s gets %d, not %d".formatted(job, status, expected));
              }
            });
  }
}
