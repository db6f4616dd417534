package shorecrank.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.BitSet;
import java.util.List;
import shorecrank.config.InvalidConfigException;
import shorecrank.config.SettingsFile;
import shorecrank.protocol.Ids.AttemptNumber;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.Incarnation;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.JobSpecCodec;
import shorecrank.protocol.Json;
import shorecrank.protocol.MalformedMessageException;
import shorecrank.sim.UserRequest.Kind;
import shorecrank.storage.JobRecord;
import shorecrank.storage.JobRecord.AttemptRange;

/**
 * A world with idle controllers, in which unit tests cause violations of the checker's rules
 * directly. It has two controllers, two machines in each of the zones a and b, and a team t with a
 * limit of 8 CPUs.
 */
final class RuleTestWorld extends World {
  /**
   * The number of low bits of a fencing token that hold the command number; the epoch is above
   * them.
   */
  static final int NUMBER_BITS = 24;

  private static final double LIMIT_CPUS = 8;

  /**
   * Creates the world, without controllers and machines.
   *
   * @param settings the content of the controllers' settings file; empty for the defaults
   */
  RuleTestWorld(String settings) throws InvalidConfigException {
    super(1, settings.isEmpty() ? SettingsFile.defaults() : SettingsFile.read(settings));
    site.setZones(List.of("a", "b"));
    site.addType("p8", new MachineType(8, 32, 5, List.of("a", "b")));
    site.addTeam("t", new TeamQuota(0, LIMIT_CPUS));
  }

  /** Starts the controllers and machines. */
  RuleTestWorld launch() {
    startControllers(2);
    for (int i = 0; i < 4; i++) {
      cloud.addMachine("p8", i < 2 ? "a" : "b", i % 2 == 1, 0);
    }
    return this;
  }

  @Override
  ControllerNode newController(int index) {
    return new IdleController(this, index);
  }

  /** Returns one of the two controllers. */
  IdleController controller(int index) {
    return (IdleController) controllers().get(index);
  }

  /**
   * Returns one of the machines n-000001 to n-000004; those with an even number are spot machines.
   */
  SimulatedWorker machine(int number) {
    return worker("n-%06d".formatted(number)).orElseThrow();
  }

  // ---- user requests ----------------------------------------------------------------------------

  /** Submits a job without sending a request to any controller. */
  void submit(String job, JobPlan.Builder plan) {
    jobs.submit(job, plan.build());
    checker.submitted(job);
  }

  /** Submits a job and answers that it is accepted. */
  void accept(String job, JobPlan.Builder plan) {
    submit(job, plan);
    answer(Kind.SUBMIT, job, 201, "queued");
  }

  /** Delivers an answer to a request that was sent at the current time. */
  void answer(Kind kind, String job, int status, String phase) {
    answer(kind, job, status, Json.object().put("phase", phase), checker.answers().snapshot(job));
  }

  /**
   * Delivers an answer to a request that was sent earlier.
   *
   * @param before what users had been told about the job when the request was sent
   */
  void answer(Kind kind, String job, int status, ObjectNode body, KnownJobState before) {
    checker.answered(new UserAnswer(kind, job, status, body, before));
  }

  /** Requests the cancellation of a job and answers that it is cancelled. */
  void cancel(String job) {
    jobs.requestCancel(job);
    answer(Kind.CANCEL, job, 200, AnswerHistory.CANCELLED);
  }

  // ---- workers ----------------------------------------------------------------------------------

  /** Puts a task on a machine and returns it. */
  SimulatedTask start(int machine, String task) {
    SimulatedTask started = new SimulatedTask(task, 1);
    checker.started(machine(machine), started);
    return started;
  }

  /** Sends a worker the command to start a task. */
  void commandStart(int machine, String task, long epoch) {
    command(machine, epoch, Json.object().put("verb", "start").put("piece", task).put("try", 1));
  }

  /** Sends a worker the command to reap a task. */
  void commandReap(int machine, String task, long epoch) {
    command(machine, epoch, Json.object().put("verb", "reap").put("piece", task).put("try", 1));
  }

  /** Sends a worker the command to stop a task at once. */
  void commandStop(int machine, String task, long epoch) {
    command(machine, epoch, Json.object().put("verb", "stop").put("piece", task).put("try", 1));
  }

  private void command(int machine, long epoch, ObjectNode order) {
    ObjectNode body = Json.object().put("epoch", epoch << NUMBER_BITS);
    body.put("tenure", machine(machine).incarnation()).putArray("orders").add(order);
    machine(machine).takeCommands(body, ReplyHandler.IGNORE);
  }

  // ---- state service ----------------------------------------------------------------------------

  /** Writes a key in a transaction, as a controller does. */
  void write(String key, JsonNode value) {
    ObjectNode transaction = Json.object();
    ObjectNode operation = transaction.putArray("apply").addObject().put("write", key);
    operation.set("data", value);
    store.handle(
        "POST", "/multi", transaction, (status, body) -> assertEquals(200, status, body::toString));
  }

  /** Removes a key in a transaction, as a controller does. */
  void remove(String key) {
    ObjectNode transaction = Json.object();
    transaction.putArray("apply").addObject().put("drop", key);
    store.handle("POST", "/multi", transaction, ReplyHandler.IGNORE);
  }

  /** Writes the epoch of a shard. */
  void writeEpoch(int shard, long epoch) {
    write("part/" + shard, Json.object().put("part", shard).put("epoch", epoch));
  }

  /** Writes the assignment of a machine to a shard. */
  void writeAssignment(int machine, int shard) {
    ObjectNode value = Json.object();
    ArrayNode entry = value.putArray("m").addArray();
    entry.add(machine(machine).name()).add("").add("").add("").add(shard);
    write("hosts/" + machine, value);
  }

  /** Returns a record of the job whose first task has a live attempt on the machine. */
  JobRecord record(String job, int machine) throws MalformedMessageException {
    JobSpec spec = JobSpecCodec.read(UserRequest.write(job, jobs.plan(job)));
    MachineName name = new MachineName(machine(machine).name());
    AttemptRange live = new AttemptRange(0, 1, name, new Incarnation(1), new AttemptNumber(1));
    return new JobRecord(
        spec, new Epoch(1), new WriterId("n0.1"), 1, new BitSet(), List.of(live), 1, false, 1, 0);
  }

  // ---- violations -------------------------------------------------------------------------------

  /**
   * Asserts that exactly one violation was reported, and that its text begins with the given one.
   */
  void assertViolation(String text) {
    List<String> violations = checker.violations();
    assertEquals(1, violations.size(), violations.toString());
    assertTrue(violations.get(0).contains(" s: " + text), violations.toString());
  }

  /** Asserts that no violation was reported. */
  void assertNoViolations() {
    assertEquals(List.of(), checker.violations());
  }
}
