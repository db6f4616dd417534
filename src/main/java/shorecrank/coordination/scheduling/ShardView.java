package shorecrank.coordination.scheduling;

import java.util.Map;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.model.TeamQuotas.Headroom;
import shorecrank.coordination.model.WorkerLiveness;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;

/** One shard as its owner knows it, for the decisions about placement and capacity. */
public interface ShardView {
  /** The machines that the owner knows, those of other shards that hold its tasks included. */
  Map<MachineName, Machine> machines();

  /** The unfinished jobs of the shard. */
  Map<JobId, Job> jobs();

  /** The machine types that can be rented, by name. */
  Map<String, MachineType> catalog();

  /** The failure detector for the shard's workers. */
  WorkerLiveness liveness();

  /** Whether new tasks may be placed on a machine. */
  boolean isUsable(Machine machine);

  /** Whether all records of the shard have been read. */
  boolean isReady();

  /** Since when all records of the shard have been read. */
  MonotonicTime readySince();

  /** Whether a record is another owner's, until all are read anew under a higher epoch. */
  boolean hasRecordOfOtherOwner();

  /** Whether the owner's lease runs. */
  boolean isLeaseValid();

  /** What a team may still take within its limits. */
  Headroom headroom(String team);

  /** Adds an attempt to its job and machine; it is commanded once its record is committed. */
  void attach(TaskAttempt attempt);
}
