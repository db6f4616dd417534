package shorecrank.coordination.model;

import java.util.HashSet;
import java.util.List;
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
import shorecrank.protocol.WorkerMessages.WorkerHeartbeat;

/**
 * Builds machines for tests, by default assigned to shard 0, in zone "a", and without a heartbeat
 * of their worker.
 */
public final class MachineBuilder {
  private static final Epoch TERM = new Epoch(1);

  private final MachineName name;
  private String zone = "a";
  private double cpus = 8;
  private double gpus;
  private MonotonicTime heardAt;
  private boolean confirmed = true;

  private MachineBuilder(MachineName name) {
    this.name = name;
  }

  /** Returns a builder for a machine whose name contains a number. */
  public static MachineBuilder machine(int number) {
    return new MachineBuilder(new MachineName("m-" + number));
  }

  /** Sets the machine's zone. */
  public MachineBuilder inZone(String value) {
    zone = value;
    return this;
  }

  /** Sets the machine's processors and accelerators. */
  public MachineBuilder with(double cpuCount, double gpuCount) {
    cpus = cpuCount;
    gpus = gpuCount;
    return this;
  }

  /** Lets a heartbeat without tasks arrive from the worker at a time, and reconciles it. */
  public MachineBuilder heardAt(MonotonicTime time) {
    heardAt = time;
    return this;
  }

  /** Marks the worker as one that has not shown this owner's epoch yet. */
  public MachineBuilder unconfirmed() {
    confirmed = false;
    return this;
  }

  /** Returns a machine type that fetches images at 0.5 GB per second. */
  public static MachineType type(double cpus, double gpus) {
    return new MachineType(
        "t" + (int) cpus, cpus, gpus, 1000, 50, 0.5, cpus, cpus / 4, 60, List.of("a", "b"));
  }

  /** Returns the machine. */
  public Machine build() {
    MachineType type = type(cpus, gpus);
    MachineInfo info = new MachineInfo(name, type.name(), zone, false);
    Machine machine = new Machine(name, new WorkerSession(), new HashSet<>());
    machine.setInfo(info);
    machine.setType(type);
    MachineAssignment assignment =
        new MachineAssignment(info, new ShardId(0), 0, TERM, false, MoveId.NONE);
    machine.assignment().assign(assignment, new MonotonicTime(0));
    if (heardAt != null) {
      WorkerHeartbeat heartbeat = heartbeat(info);
      machine.session().recordConfirmed(heartbeat, heardAt);
      machine.session().recordReconciled(heartbeat);
      if (!confirmed) {
        machine.session().clearConfirmed();
      }
    }
    return machine;
  }

  private WorkerHeartbeat heartbeat(MachineInfo info) {
    return new WorkerHeartbeat(
        name,
        info.type(),
        zone,
        info.spot(),
        new Incarnation(1),
        1,
        FencingToken.of(TERM),
        "",
        -1,
        List.of());
  }
}
