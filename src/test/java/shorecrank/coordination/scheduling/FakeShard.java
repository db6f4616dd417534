package shorecrank.coordination.scheduling;

import static org.junit.jupiter.api.Assertions.fail;

import java.util.Map;
import java.util.TreeMap;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.JobBuilder;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.MachineBuilder;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.model.TeamQuotas;
import shorecrank.coordination.model.TeamQuotas.Headroom;
import shorecrank.coordination.model.WorkerLiveness;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;

/** A shard with the jobs and machines of a test, whose owner has held the lease since time 0. */
final class FakeShard implements ShardView {
  private final Map<MachineName, Machine> machines = new TreeMap<>();
  private final Map<JobId, Job> jobs = new TreeMap<>();
  private final Map<String, MachineType> catalog = new TreeMap<>();
  private final StepContext context;
  private final WorkerLiveness liveness;
  private final TeamQuotas quotas;

  FakeShard(StepContext context) {
    this.context = context;
    liveness = new WorkerLiveness(context, machines.values(), new MonotonicTime(0));
    quotas = new TeamQuotas(context.config().teams(), machines.values());
  }

  /** Builds a machine, adds it to the shard and returns it. */
  Machine add(MachineBuilder builder) {
    Machine machine = builder.build();
    machines.put(machine.name(), machine);
    return machine;
  }

  /** Builds a job, adds it to the shard and returns it. */
  Job add(JobBuilder builder) {
    Job job = builder.build();
    jobs.put(job.id(), job);
    return job;
  }

  /** Adds a machine type that can be rented. */
  void addType(MachineType type) {
    catalog.put(type.name(), type);
  }

  @Override
  public Map<MachineName, Machine> machines() {
    return machines;
  }

  @Override
  public Map<JobId, Job> jobs() {
    return jobs;
  }

  @Override
  public Map<String, MachineType> catalog() {
    return catalog;
  }

  @Override
  public WorkerLiveness liveness() {
    return liveness;
  }

  @Override
  public boolean isUsable(Machine machine) {
    return liveness.isFresh(machine) && !machine.isDraining() && !machine.isReleasing();
  }

  @Override
  public boolean isReady() {
    return true;
  }

  @Override
  public MonotonicTime readySince() {
    return new MonotonicTime(0);
  }

  @Override
  public boolean hasRecordOfOtherOwner() {
    return false;
  }

  @Override
  public boolean isLeaseValid() {
    return true;
  }

  @Override
  public AttemptRoom attemptRoom() {
    return AttemptRoom.of(context.config().limits(), 1, jobs.values(), machines.values());
  }

  @Override
  public Headroom headroom(String team) {
    return quotas.headroom(team);
  }

  @Override
  public void attach(TaskAttempt attempt) {
    fail("the autoscaler places nothing");
  }
}
