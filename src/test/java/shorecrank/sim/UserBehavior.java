package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import shorecrank.sim.UserRequest.Kind;

/**
 * Temporary user behavior that is hard on the service: request bursts, cancellations, and unusual
 * requests.
 */
final class UserBehavior {
  private static final int BURST_REQUESTS = 12;
  private static final long BURST_INTERVAL_MS = 3;
  private static final int BURST_JITTER_MS = 5;

  /** Every fourth request of a burst submits the job again; the others query it. */
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

  // ---- request bursts --------------------------------------------------------------------------

  /**
   * Makes users send a burst of requests to all controllers whenever a job was accepted or has
   * ended, for the given time.
   */
  void queryAllControllersFor(long durationMs) {
    burstsUntilMs = sim.now() + durationMs;
  }

  /**
   * Sends a burst of requests if the answer tells the acceptance or the end of a job for the first
   * time.
   */
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

  /** Reports whether this phase is an end that no user has been told before. */
  private boolean isNewEnd(String job, String phase) {
    return seenPhases.add(job + phase) && AnswerHistory.isFinalPhase(phase);
  }

  private void sendBurstRequest(ControllerNode node, String job, boolean submits) {
    UserRequest request =
        submits ? UserRequest.submit(job, world.jobs.plan(job)) : UserRequest.query(job);
    client().send(node, request, ReplyHandler.IGNORE);
  }

  // ---- cancellations ---------------------------------------------------------------------------

  /**
   * Cancels a share of the jobs at the moment when their last task completes, for the given time.
   */
  void cancelAtEnd(double share, long durationMs) {
    cancelAtEndShare = share;
    cancelAtEndUntilMs = sim.now() + durationMs;
  }

  /** Cancels the job if its last task has completed and it is among the share to cancel. */
  void completed(String job) {
    if (sim.now() >= cancelAtEndUntilMs || sim.random().nextDouble() >= cancelAtEndShare) {
      return;
    }
    if (world.jobs.hasAllResults(job)) {
      sim.after(sim.random().nextInt(CANCEL_AT_END_WITHIN_MS), () -> world.users.cancel(job));
    }
  }

  /** Cancels each new job of a class after the given time; an empty class stops this. */
  void cancelEach(String jobClass, long afterMs) {
    cancelledJobClass = jobClass;
    cancelledAfterMs = afterMs;
  }

  /** Cancels the new job later if it belongs to the class to cancel. */
  void submitted(String job, JobPlan plan) {
    if (plan.jobClass().equals(cancelledJobClass)) {
      sim.after(cancelledAfterMs, () -> world.users.cancel(job));
    }
  }

  /**
   * Cancels running jobs within a moment.
   *
   * @param count how many
   * @param hangMs how long machines that run their tasks hang, in milliseconds; 0 if they don't
   */
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

  // ---- unusual requests ------------------------------------------------------------------------

  /**
   * Makes users repeat submissions, cancel finished jobs, and submit jobs that fit no machine or
   * are malformed, for the given time.
   */
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
    List<String> jobs = world.jobs.idsInStableOrder();
    if (jobs.isEmpty()) {
      return;
    }
    String job = jobs.get(sim.random().nextInt(jobs.size()));
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
