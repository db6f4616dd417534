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

/** The state of one shard, as its owner knows it, for decisions about placement and capacity. */
public interface ShardView {
  /** Returns the known machines, including those of other shards that hold tasks of this one. */
  Map<MachineName, Machine> machines();

  /** Returns the unfinished jobs of the shard. */
  Map<JobId, Job> jobs();

  /** Returns the machine types that can be rented, by name. */
  Map<String, MachineType> catalog();

  /** Returns the failure detector for the shard's workers. */
  WorkerLiveness liveness();

  /** Reports whether new tasks may be placed on a machine. */
  boolean isUsable(Machine machine);

  /** Reports whether all records of the shard have been read. */
  boolean isReady();

  /** Returns the time at which all records of the shard had been read. */
  MonotonicTime readySince();

  /**
   * Reports whether this owner has given up a job under its current epoch because another owner has
   * written the job's record; false again once this owner holds the shard under a higher epoch.
   */
  boolean hasRecordOfOtherOwner();

  /** Reports whether the owner's lease on the shard is valid. */
  boolean isLeaseValid();

  /** Returns the room for further attempts on all machines of the shard together. */
  AttemptRoom attemptRoom();

  /** Returns the resources that a team may still use within its limits. */
  Headroom headroom(String team);

  /**
   * Adds an attempt to its job and its machine. Its start is commanded once the job's record that
   * names the attempt is committed.
   */
  void attach(TaskAttempt attempt);
}
