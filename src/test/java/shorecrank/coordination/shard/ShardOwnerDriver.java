package shorecrank.coordination.shard;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import shorecrank.coordination.model.CancellationLog;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.MachineBuilder;
import shorecrank.coordination.step.Input;
import shorecrank.coordination.step.Output;
import shorecrank.coordination.step.StepDriver;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.HeartbeatMessages.MachineAssignment;
import shorecrank.protocol.HeartbeatMessages.MachineInfo;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.FencingToken;
import shorecrank.protocol.Ids.Incarnation;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Json;
import shorecrank.protocol.WorkerMessages.TaskStatus;
import shorecrank.protocol.WorkerMessages.WorkerHeartbeat;
import shorecrank.rollout.FeatureGate;
import shorecrank.storage.JobRecord;

/**
 * Runs the owner of the only shard. The state service commits all records at once; machines have 8
 * processors and numbers from 1 up.
 */
final class ShardOwnerDriver {
  /** The machines' type. */
  static final MachineType TYPE = MachineBuilder.type(8, 0);

  /** The epoch of the ownership. */
  static final Epoch EPOCH = new Epoch(5);

  private static final int ROUNDS = 20;
  private static final int ROUND_MS = 50;
  private static final long FIRST_REVISION = 20;

  private final StepDriver driver = new StepDriver();
  private final List<Output.Call> directCommands = new ArrayList<>();
  private long revision = FIRST_REVISION;
  private ShardOwner owner;

  /** Acquires the shard, whose records are the given ones. */
  ShardOwnerDriver(List<JobRecord> records) {
    this(records, List.of());
  }

  /**
   * Acquires the shard, whose records are the given ones.
   *
   * @param released the machines of whose release the leader tells before the records are read
   */
  ShardOwnerDriver(List<JobRecord> records, List<MachineName> released) {
    CancellationLog cancellations = new CancellationLog(driver.context(), id -> {}, other -> {});
    driver.after(
        1000,
        () -> {
          owner =
              new ShardOwner(
                  driver.context(),
                  cancellations,
                  new FeatureGate(),
                  ShardId.of("vision", 1),
                  EPOCH,
                  driver.context().now(),
                  false);
          owner.updateCatalog(Map.of(TYPE.name(), TYPE));
          owner.renewLease(EPOCH, new MonotonicTime(10_000_000));
          owner.recover();
          owner.machines().removeReleased(released);
        });
    driver.answer(200, page(records));
  }

  private static ObjectNode page(List<JobRecord> records) {
    ObjectNode page = Json.object().put("ledgerRev", 10).put("truncated", false);
    ArrayNode entries = page.putArray("entries");
    for (JobRecord record : records) {
      ObjectNode entry = entries.addObject().put("k", JobRecord.liveKey(record.spec().id()));
      entry.put("stamp", 3).set("data", record.write());
    }
    return page;
  }

  /** Returns the owner. */
  ShardOwner owner() {
    return owner;
  }

  /** Returns the driver of the owner's steps. */
  StepDriver driver() {
    return driver;
  }

  // ---- machines --------------------------------------------------------------------------------

  /** Returns the name of the machine with a number. */
  static MachineName machineName(int number) {
    return new MachineName("m-" + number);
  }

  private static MachineInfo info(int number, String zone) {
    return new MachineInfo(machineName(number), TYPE.name(), zone, false);
  }

  /** Returns the machine with a number. */
  Machine machine(int number) {
    return owner.machines().machine(machineName(number));
  }

  /** Assigns the machine with a number to the shard; it is in zone a. */
  void assign(int number) {
    assign(number, "a");
  }

  /** Assigns the machine with a number, which is in the given zone, to the shard. */
  void assign(int number, String zone) {
    MachineAssignment assignment =
        new MachineAssignment(
            info(number, zone), new ShardId(0), 0, Epoch.NONE, false, MoveId.NONE);
    driver.now(() -> owner.machines().updateAssignment(assignment));
  }

  /** Assigns machines, with numbers from 1 up, whose workers send two heartbeats without tasks. */
  void addMachines(int count) {
    for (int number = 1; number <= count; number++) {
      assign(number);
      for (long sequence = 1; sequence <= 2; sequence++) {
        WorkerHeartbeat heartbeat =
            heartbeat(number, sequence, FencingToken.of(EPOCH), "", List.of());
        driver.now(() -> owner.handleHeartbeat(0, heartbeat, true));
      }
    }
  }

  /** Returns a heartbeat of a worker's first incarnation. */
  static WorkerHeartbeat heartbeat(
      int number, long sequence, FencingToken token, String address, List<TaskStatus> tasks) {
    MachineInfo info = info(number, "a");
    return new WorkerHeartbeat(
        info.name(),
        info.type(),
        info.zone(),
        info.spot(),
        new Incarnation(1),
        sequence,
        token,
        address,
        -1,
        tasks);
  }

  /** Lets a heartbeat arrive, runs rounds until it is answered, and returns the answer. */
  Output.Reply answerTo(WorkerHeartbeat heartbeat) {
    driver.takeReplies();
    driver.after(1000, () -> owner.handleHeartbeat(0, heartbeat, true));
    runRounds();
    return driver.takeReplies().get(0);
  }

  // ---- rounds ----------------------------------------------------------------------------------

  /** Runs rounds, commits all records that they write, and keeps direct commands to workers. */
  void runRounds() {
    for (int round = 0; round < ROUNDS; round++) {
      driver.after(ROUND_MS, () -> owner.runRound(() -> false));
      for (Output.Call call : List.copyOf(driver.openCalls())) {
        if (call.target() instanceof Output.Worker) {
          driver.openCalls().remove(call);
          directCommands.add(call);
        } else if (call.body() != null) {
          driver.openCalls().remove(call);
          commit(call);
        }
      }
    }
  }

  private void commit(Output.Call call) {
    ObjectNode committed = Json.object().put("ledgerRev", revision++);
    driver.now(() -> driver.context().handleAnswer(new Input.Answer(call.call(), 200, committed)));
  }

  /** Returns the direct commands that were sent, which were not answered. */
  List<Output.Call> directCommands() {
    return directCommands;
  }
}
