package shorecrank.coordination.shard;

import java.util.Map;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.model.TeamQuotas;
import shorecrank.coordination.model.TeamQuotas.Headroom;
import shorecrank.coordination.model.WorkerLiveness;
import shorecrank.coordination.scheduling.AttemptRoom;
import shorecrank.coordination.scheduling.ShardView;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;

/**
 * View of the shard for scheduling: its jobs and machines, and whether the shard is ready and
 * owned.
 */
final class ShardState implements ShardView {
  private final StepContext context;
  private final ShardLease lease;
  private final ShardRecovery recovery;
  private final ShardJobs jobs;
  private final MachineRegistry machines;
  private final WorkerLiveness liveness;
  private final TeamQuotas quotas;

  ShardState(
      StepContext context,
      ShardLease lease,
      ShardRecovery recovery,
      ShardJobs jobs,
      MachineRegistry machines,
      WorkerLiveness liveness,
      TeamQuotas quotas) {
    this.context = context;
    this.lease = lease;
    this.recovery = recovery;
    this.jobs = jobs;
    this.machines = machines;
    this.liveness = liveness;
    this.quotas = quotas;
  }

  @Override
  public Map<MachineName, Machine> machines() {
    return machines.machines();
  }

  @Override
  public Map<JobId, Job> jobs() {
    return jobs.all();
  }

  @Override
  public Map<String, MachineType> catalog() {
    return machines.catalog();
  }

  @Override
  public WorkerLiveness liveness() {
    return liveness;
  }

  @Override
  public boolean isUsable(Machine machine) {
    return !machine.isDraining()
        && machine.acceptsTasks(context.now())
        && liveness.isFresh(machine);
  }

  @Override
  public boolean isReady() {
    return recovery.isReady();
  }

  @Override
  public MonotonicTime readySince() {
    return recovery.readySince();
  }

  @Override
  public boolean hasRecordOfOtherOwner() {
    return !lease.refusedBy().equals(Epoch.NONE);
  }

  @Override
  public boolean isLeaseValid() {
    return lease.isValid();
  }

  @Override
  public AttemptRoom attemptRoom() {
    return AttemptRoom.of(
        context.config().limits(),
        context.settings().shards(),
        jobs.all().values(),
        machines.machines().values());
  }

  @Override
  public Headroom headroom(String team) {
    return quotas.headroom(team);
  }

  @Override
  public void attach(TaskAttempt attempt) {
    jobs.attach(attempt);
  }
}
