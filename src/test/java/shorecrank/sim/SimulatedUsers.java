package shorecrank.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The simulated users: they submit jobs, query and cancel them, and repeat requests that got no
 * answer.
 */
final class SimulatedUsers {
  private static final long GIVE_UP_MS = 60_000;
  private static final long RETRY_MS = 1000;
  private static final long QUERY_EVERY_MS = 5000;
  private static final int FIRST_QUERY_WITHIN_MS = 3000;

  /** Time after which a user queries a job once more when its end is known already. */
  private static final long LATE_QUERY_MS = 15_000;

  private final World world;
  private final Simulation sim;
  private final UserClient client;
  private final UserBehavior behavior;
  private final Map<String, Integer> latestStatuses = new HashMap<>();
  private final Set<String> givenUpDuringFaults = new HashSet<>();

  SimulatedUsers(World world) {
    this.world = world;
    this.sim = world.sim;
    this.behavior = new UserBehavior(world);
    this.client = new UserClient(world, behavior::answered);
  }

  /** Returns the client that sends the users' requests. */
  UserClient client() {
    return client;
  }

  /** Returns the users' additional behavior beyond submitting and querying. */
  UserBehavior behavior() {
    return behavior;
  }

  /**
   * Returns the status of the latest answer to a query, or of a submission that failed; 0 if there
   * is none.
   */
  int latestStatus(String job) {
    return latestStatuses.getOrDefault(job, 0);
  }

  /**
   * Reports whether the job's user stopped retrying the submission while faults could still have
   * effects.
   */
  boolean gaveUpDuringFaults(String job) {
    return givenUpDuringFaults.contains(job);
  }

  /**
   * Submits a new job: repeats the submission until it is answered, and then queries the job until
   * it has ended.
   */
  void submit(String job, JobPlan plan) {
    world.jobs.submit(job, plan);
    world.checker.submitted(job);
    trySubmit(UserRequest.submit(job, plan), sim.now() + GIVE_UP_MS, true);
    behavior.submitted(job, plan);
  }

  /** Submits a known job again, which may have ended long ago. */
  void resubmit(String job) {
    UserRequest request = UserRequest.submit(job, world.jobs.plan(job));
    trySubmit(request, sim.now() + GIVE_UP_MS, false);
  }

  /** Submits a known job again, once and to one controller. */
  void resubmitAt(ControllerNode node, String job) {
    client.send(node, UserRequest.submit(job, world.jobs.plan(job)), ReplyHandler.IGNORE);
  }

  private void trySubmit(UserRequest request, long untilMs, boolean queries) {
    client.send(request, (status, body) -> submitAnswered(request, status, untilMs, queries));
  }

  private void submitAnswered(UserRequest request, int status, long untilMs, boolean queries) {
    String job = request.job();
    boolean refused = status == 400 || status == 422;
    if (status == 200 || status == 201) {
      if (queries) {
        sim.after(sim.random().nextInt(FIRST_QUERY_WITHIN_MS), () -> queryUntilOver(job));
      }
    } else if (!refused && sim.now() < untilMs) {
      sim.after(RETRY_MS, () -> trySubmit(request, untilMs, queries));
    } else {
      latestStatuses.put(job, status);
      if (!refused && world.faults.mayStillHaveEffects()) {
        givenUpDuringFaults.add(job);
      }
    }
  }

  private void queryUntilOver(String job) {
    if (world.checker.answers().isOver(job)) {
      sim.after(LATE_QUERY_MS, () -> query(job));
      return;
    }
    query(job);
    sim.after(QUERY_EVERY_MS, () -> queryUntilOver(job));
  }

  /** Queries a job once. */
  void query(String job) {
    client.send(UserRequest.query(job), (status, body) -> latestStatuses.put(job, status));
  }

  /** Requests the cancellation of a job until that is confirmed. */
  void cancel(String job) {
    world.jobs.requestCancel(job);
    tryCancel(job, sim.now() + GIVE_UP_MS);
  }

  private void tryCancel(String job, long untilMs) {
    client.send(
        UserRequest.cancel(job),
        (status, body) -> {
          if (status != 200 && sim.now() < untilMs) {
            sim.after(RETRY_MS, () -> tryCancel(job, untilMs));
          }
        });
  }

  /** Records that a task has completed; called by its worker. */
  void completed(String task) {
    world.jobs.addResult(task);
    behavior.completed(SubmittedJobs.jobOf(task));
  }
}
