package shorecrank.sim;

import java.util.Map;

/** Actions of users: requests about jobs, and behaviour that lasts for some time. */
final class UserActions {
  static final Map<String, Action.Reader> ACTIONS =
      Map.ofEntries(
          Map.entry("submit", UserActions::submit),
          Map.entry("submit-every", UserActions::submitEvery),
          Map.entry("resubmit", line -> jobRequest(line, SimulatedUsers::resubmit)),
          Map.entry("query", line -> jobRequest(line, SimulatedUsers::query)),
          Map.entry("cancel", line -> jobRequest(line, SimulatedUsers::cancel)),
          Map.entry("lose-requests", UserActions::loseRequests),
          Map.entry("cancel-now", UserActions::cancelNow),
          Map.entry("cancel-each", UserActions::cancelEach),
          Map.entry("cancel-at-end", UserActions::cancelAtEnd),
          Map.entry("query-everywhere", line -> timed(line, UserBehavior::queryAllControllersFor)),
          Map.entry(
              "malformed-requests", line -> timed(line, UserBehavior::sendUnusualRequestsFor)));

  private static final String[] PLAN_OPTIONS = {
    "team",
    "class",
    "image",
    "zone",
    "machine-type",
    "priority",
    "tasks",
    "cpus",
    "memory",
    "run",
    "fetch",
    "checkpoint",
    "due",
    "no-spot",
    "together",
    "spread",
    "failing",
    "depends-on"
  };

  /** A request about one job. */
  @FunctionalInterface
  private interface JobRequest {
    void send(SimulatedUsers users, String job);
  }

  /** A behaviour of users that lasts for some time. */
  @FunctionalInterface
  private interface Habit {
    void begin(UserBehavior behavior, long durationMs);
  }

  private UserActions() {}

  /** Parses {@code submit JOB options}: a new job. */
  private static Action submit(ScenarioLine line) {
    String job = line.word(1);
    JobPlan plan = plan(line.options(2)).build();
    return world -> world.users.submit(job, plan);
  }

  /**
   * Parses {@code submit-every FIRST EVERY UNTIL CLASS options}: new jobs at an interval in
   * seconds, with ascending numbers from FIRST on.
   */
  private static Action submitEvery(ScenarioLine line) {
    int first = line.integer(1);
    long everyMs = line.milliseconds(2);
    long untilMs = line.milliseconds(3);
    JobPlan plan = plan(line.options(5)).jobClass(line.word(4)).build();
    return world -> {
      int number = first;
      for (long at = world.sim.now(); at < untilMs; at += everyMs) {
        String job = "wk-" + number;
        world.sim.at(at, () -> world.users.submit(job, plan));
        number++;
      }
    };
  }

  /** Parses {@code NAME JOB}: one request about a job. */
  private static Action jobRequest(ScenarioLine line, JobRequest request) {
    String job = line.word(1);
    return world -> request.send(world.users, job);
  }

  /** Parses {@code NAME SECONDS}: a behaviour that lasts for so many seconds. */
  private static Action timed(ScenarioLine line, Habit habit) {
    long durationMs = line.milliseconds(1);
    return world -> habit.begin(world.users.behavior(), durationMs);
  }

  /**
   * Parses {@code lose-requests JOB}: from now on, no request about the job reaches a controller.
   */
  private static Action loseRequests(ScenarioLine line) {
    String job = line.word(1);
    return world -> world.users.client().dropRequestsAbout(job);
  }

  /**
   * Parses {@code cancel-now COUNT [HANG_S]}: cancels running jobs; their machines hang for that
   * time, if it is given.
   */
  private static Action cancelNow(ScenarioLine line) {
    int count = line.integer(1);
    long hangMs = line.has(2) ? line.milliseconds(2) : 0;
    return world -> world.users.behavior().cancelNow(count, hangMs);
  }

  /**
   * Parses {@code cancel-each CLASS AFTER FOR}: for FOR seconds, each new job of the class is
   * cancelled AFTER seconds after its submission.
   */
  private static Action cancelEach(ScenarioLine line) {
    String jobClass = line.word(1);
    long afterMs = line.milliseconds(2);
    long durationMs = line.milliseconds(3);
    return world -> {
      world.users.behavior().cancelEach(jobClass, afterMs);
      world.sim.after(durationMs, () -> world.users.behavior().cancelEach("", 0));
    };
  }

  /**
   * Parses {@code cancel-at-end SHARE SECONDS}: for that time, a share of the jobs is cancelled at
   * the moment they end.
   */
  private static Action cancelAtEnd(ScenarioLine line) {
    double share = line.decimal(1);
    long durationMs = line.milliseconds(2);
    return world -> world.users.behavior().cancelAtEnd(share, durationMs);
  }

  private static JobPlan.Builder plan(ScenarioOptions options) {
    options.allow(PLAN_OPTIONS);
    JobPlan defaults = JobPlan.builder().build();
    return JobPlan.builder()
        .team(options.text("team", defaults.team()))
        .jobClass(options.text("class", defaults.jobClass()))
        .image(options.text("image", defaults.image()))
        .zone(options.text("zone", null))
        .machineType(options.text("machine-type", null))
        .priority(options.text("priority", defaults.priority()))
        .tasks(options.integer("tasks", defaults.tasks()))
        .cpus(options.decimal("cpus", defaults.cpus()))
        .memoryGb(options.decimal("memory", defaults.memoryGb()))
        .runS(options.decimal("run", defaults.runS()))
        .fetchS(options.decimal("fetch", defaults.fetchS()))
        .checkpointS(options.decimal("checkpoint", defaults.checkpointS()))
        .checkpoints(options.has("checkpoint"))
        .dueS(options.decimal("due", defaults.dueS()))
        .spot(!options.has("no-spot"))
        .together(options.has("together"))
        .spread(options.has("spread"))
        .faulty(options.has("failing"))
        .dependencies(options.jobs("depends-on"));
  }
}
