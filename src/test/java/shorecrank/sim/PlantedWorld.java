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
 * A world whose controllers do nothing, in which tests plant what must not happen. There are two
 * controllers, two machines in each of the zones a and b, and a team t with a limit of 8 CPUs.
 */
final class PlantedWorld extends World {
  /** A fencing token holds its epoch above so many bits. */
  static final int TOKEN_BITS = 24;

  private static final double LIMIT_CPUS = 8;

  /**
   * @param settings as in the controllers' settings file
   */
  PlantedWorld(String settings) throws InvalidConfigException {
    super(1, settings.isEmpty() ? SettingsFile.defaults() : SettingsFile.read(settings));
    site.setZones(List.of("a", "b"));
    site.addType("p8", new MachineType(8, 32, 5, List.of("a", "b")));
    site.addTeam("t", new TeamQuota(0, LIMIT_CPUS));
  }

  /** Starts the controllers and machines. */
  PlantedWorld opened() {
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

  /** One of the two controllers. */
  IdleController controller(int index) {
    return (IdleController) controllers().get(index);
  }

  /** One of the machines n-000001 to n-000004; the even ones are spot machines. */
  SimulatedWorker machine(int number) {
    return worker("n-%06d".formatted(number)).orElseThrow();
  }

  // ---- what users see --------------------------------------------------------------------------

  /** A user submits a job that no controller hears of. */
  void submit(String job, JobPlan.Builder plan) {
    jobs.submit(job, plan.build());
    checker.submitted(job);
  }

  /** A user submits a job and is told that it is accepted. */
  void accept(String job, JobPlan.Builder plan) {
    submit(job, plan);
    tell(Kind.SUBMIT, job, 201, "queued");
  }

  /** A user has an answer to a request that was sent a moment ago. */
  void tell(Kind kind, String job, int status, String phase) {
    tell(kind, job, status, Json.object().put("phase", phase), checker.answers().snapshot(job));
  }

  /** A user has an answer to a request that was sent when users had been told that. */
  void tell(Kind kind, String job, int status, ObjectNode body, KnownJobState before) {
    checker.answered(new UserAnswer(kind, job, status, body, before));
  }

  /** A user asks for a job to be cancelled and is told that it is. */
  void cancel(String job) {
    jobs.requestCancel(job);
    tell(Kind.CANCEL, job, 200, AnswerHistory.CANCELLED);
  }

  // ---- what runs -------------------------------------------------------------------------------

  /** A task is on a machine from now on. */
  SimulatedTask start(int machine, String task) {
    SimulatedTask started = new SimulatedTask(task, 1);
    checker.started(machine(machine), started);
    return started;
  }

  /** A worker is told to start a task. */
  void commandStart(int machine, String task, long epoch) {
    command(machine, epoch, Json.object().put("verb", "start").put("piece", task).put("try", 1));
  }

  /** A worker is told to forget a task. */
  void commandReap(int machine, String task, long epoch) {
    command(machine, epoch, Json.object().put("verb", "reap").put("piece", task).put("try", 1));
  }

  /** A worker is told to stop a task at once. */
  void commandStop(int machine, String task, long epoch) {
    command(machine, epoch, Json.object().put("verb", "stop").put("piece", task).put("try", 1));
  }

  private void command(int machine, long epoch, ObjectNode order) {
    ObjectNode body = Json.object().put("epoch", epoch << TOKEN_BITS);
    body.put("tenure", machine(machine).incarnation()).putArray("orders").add(order);
    machine(machine).takeCommands(body, ReplyHandler.IGNORE);
  }

  // ---- what is written -------------------------------------------------------------------------

  /** A controller writes a key. */
  void write(String key, JsonNode value) {
    ObjectNode transaction = Json.object();
    ObjectNode operation = transaction.putArray("apply").addObject().put("write", key);
    operation.set("data", value);
    store.handle(
        "POST", "/multi", transaction, (status, body) -> assertEquals(200, status, body::toString));
  }

  /** A controller removes a key. */
  void remove(String key) {
    ObjectNode transaction = Json.object();
    transaction.putArray("apply").addObject().put("drop", key);
    store.handle("POST", "/multi", transaction, ReplyHandler.IGNORE);
  }

  /** A controller has an epoch for a shard. */
  void writeEpoch(int shard, long epoch) {
    write("part/" + shard, Json.object().put("part", shard).put("epoch", epoch));
  }

  /** The leader assigns a machine to a shard. */
  void writeAssignment(int machine, int shard) {
    ObjectNode value = Json.object();
    ArrayNode entry = value.putArray("m").addArray();
    entry.add(machine(machine).name()).add("").add("").add("").add(shard);
    write("hosts/" + machine, value);
  }

  /** The record of a job whose first task is live on a machine. */
  JobRecord record(String job, int machine) throws MalformedMessageException {
    JobSpec spec = JobSpecCodec.read(UserRequest.write(job, jobs.plan(job)));
    MachineName name = new MachineName(machine(machine).name());
    AttemptRange live = new AttemptRange(0, 1, name, new Incarnation(1), new AttemptNumber(1));
    return new JobRecord(
        spec, new Epoch(1), new WriterId("n0.1"), 1, new BitSet(), List.of(live), 1, false, 1, 0);
  }

  // ---- what was found --------------------------------------------------------------------------

  /** Exactly one rule was found broken, and that is it. */
  void assertBroken(String rule) {
    List<String> found = checker.violations();
    assertEquals(1, found.size(), found.toString());
    assertTrue(found.get(0).contains(" s: " + rule), found.toString());
  }

  /** No rule was found broken. */
  void assertSound() {
    assertEquals(List.of(), checker.violations());
  }
}
