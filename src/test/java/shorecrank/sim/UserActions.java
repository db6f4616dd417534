package shorecrank.sim;

import java.util.Map;

/** What users ask for. */
final class UserActions {
  static final Map<String, Action.Reader> ACTIONS =
      Map.ofEntries(
          Map.entry("submit", UserActions::submit),
          Map.entry("submit-every", UserActions::submitEvery),
          Map.entry("resubmit", line -> ofJob(line, SimulatedUsers::resubmit)),
          Map.entry("query", line -> ofJob(line, SimulatedUsers::query)),
          Map.entry("cancel", line -> ofJob(line, SimulatedUsers::cancel)),
          Map.entry("lose-requests", UserActions::loseRequests),
          Map.entry("cancel-now", UserActions::cancelNow),
          Map.entry("cancel-each", UserActions::cancelEach),
          Map.entry("cancel-at-end", UserActions::cancelAtEnd),
          Map.entry(
              "query-everywhere", line -> forAWhile(line, UserBehavior::queryAllControllersFor)),
          Map.entry(
              "malformed-requests", line -> forAWhile(line, UserBehavior::sendUnusualRequestsFor)));

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

  /** Something that users do for a while. */
  @FunctionalInterface
  private interface Habit {
    void begin(UserBehavior behavior, long durationMs);
  }

  private UserActions() {}

  /** {@code submit JOB options}. */
  private static Action submit(ScenarioLine line) {
    String job = line.word(1);
    JobPlan plan = plan(line.options(2)).build();
    return world -> world.users.submit(job, plan);
  }

  /** {@code submit-every FIRST EVERY UNTIL CLASS options}: a job every so many seconds. */
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

  /** {@code NAME JOB}. */
  private static Action ofJob(ScenarioLine line, JobRequest request) {
    String job = line.word(1);
    return world -> request.send(world.users, job);
  }

  /** {@code NAME SECONDS}. */
  private static Action forAWhile(ScenarioLine line, Habit habit) {
    long durationMs = line.milliseconds(1);
    return world -> habit.begin(world.users.behavior(), durationMs);
  }

  /** {@code lose-requests JOB}: no request about the job reaches a controller from now on. */
  private static Action loseRequests(ScenarioLine line) {
    String job = line.word(1);
    return world -> world.users.client().dropRequestsAbout(job);
  }

  /** {@code cancel-now COUNT [HANG_S]}: running jobs are cancelled; their machines may hang. */
  private static Action cancelNow(ScenarioLine line) {
    int count = line.integer(1);
    long hangMs = line.has(2) ? line.milliseconds(2) : 0;
    return world -> world.users.behavior().cancelNow(count, hangMs);
  }

  /** {@code cancel-each CLASS AFTER FOR}: for a while each job of a class is cancelled so late. */
  private static Action cancelEach(ScenarioLine line) {
    String jobClass = line.word(1);
    long afterMs = line.milliseconds(2);
    long durationMs = line.milliseconds(3);
    return world -> {
      world.users.behavior().cancelEach(jobClass, afterMs);
      world.sim.after(durationMs, () -> world.users.behavior().cancelEach("", 0));
    };
  }

  /** {@code cancel-at-end SHARE SECONDS}: a share of jobs is cancelled at the moment they end. */
  private static Action cancelAtEnd(ScenarioLine line) {
    double share = line.decimal(1);
    long durationMs = line.milliseconds(2);
    return world -> world.users.behavior().cancelAtEnd(share, durationMs);
  }

  private static JobPlan.Builder plan(ScenarioOptions options) {
    options.allow(PLAN_OPTIONS);
    JobPlan plain = JobPlan.builder().build();
    return JobPlan.builder()
        .team(options.text("team", plain.team()))
        .jobClass(options.text("class", plain.jobClass()))
        .image(options.text("image", plain.image()))
        .zone(options.text("zone", null))
        .machineType(options.text("machine-type", null))
        .priority(options.text("priority", plain.priority()))
        .tasks(options.integer("tasks", plain.tasks()))
        .cpus(options.decimal("cpus", plain.cpus()))
        .memoryGb(options.decimal("memory", plain.memoryGb()))
        .runS(options.decimal("run", plain.runS()))
        .fetchS(options.decimal("fetch", plain.fetchS()))
        .checkpointS(options.decimal("checkpoint", plain.checkpointS()))
        .checkpoints(options.has("checkpoint"))
        .dueS(options.decimal("due", plain.dueS()))
        .spot(!options.has("no-spot"))
        .together(options.has("together"))
        .spread(options.has("spread"))
        .faulty(options.has("failing"))
        .dependencies(options.jobs("depends-on"));
  }
}
