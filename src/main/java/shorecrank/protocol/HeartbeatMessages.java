package shorecrank.protocol;

import java.util.List;
import java.util.Map;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MoveId;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.RolloutMessages.Announcement;
import shorecrank.protocol.RolloutMessages.RolloutNotice;
import shorecrank.protocol.ShardDemandMessages.ShardDemand;

/**
 * Heartbeats between controllers: each controller reports its shards to the leader, which answers
 * with leases, shard owners and machine assignments.
 */
public final class HeartbeatMessages {
  private HeartbeatMessages() {}

  /**
   * A machine whose worker sent a heartbeat to a controller, or that is assigned to a shard.
   *
   * @param type the name of its machine type
   */
  public record MachineInfo(MachineName name, String type, String zone, boolean spot) {}

  /** A shard's request that the leader rent {@code count} machines of an offer. */
  public record CapacityRequest(Offer offer, int count) {}

  /**
   * How many of a shard's workers do not reach the shard's owner with their heartbeats.
   *
   * @param expected number of machines whose heartbeats should reach the owner
   * @param overdue how many of {@code expected} have not sent a heartbeat in time
   * @param unreachableZones zones in which more than half of the expected workers are overdue
   */
  public record WorkerReachability(int expected, int overdue, List<String> unreachableZones) {}

  /**
   * A machine that the shard's owner has drained for a move and hands over.
   *
   * @param move the move; {@link MoveId#NONE} from versions that do not send its id
   */
  public record MachineHandover(MachineName machine, MoveId move) {}

  /**
   * A shard owner's report on one shard.
   *
   * @param epoch the epoch under which the owner serves the shard
   * @param refusedEpoch the epoch of a stored record that refused a write of the owner; {@link
   *     Epoch#NONE} if none did
   * @param hasQueuedTasks whether tasks are queued, or the owner has not loaded its jobs yet
   * @param capacityRequests machines to rent
   * @param machinesToRelease machines to return to the cloud
   * @param spareMachines machines that have been empty for a while
   * @param handovers machines that are empty and ready to be assigned to another shard
   * @param misplaced machines that hold tasks of this shard although they are assigned to another
   *     one
   * @param echoesMoveIds whether {@code handovers} name the move's id; earlier versions do not
   * @param demand what the shard needs and could give up; null where shares are not enabled, or
   *     while the owner has not read all records or has no valid lease
   */
  public record ShardReport(
      ShardId shard,
      Epoch epoch,
      Epoch refusedEpoch,
      boolean hasQueuedTasks,
      WorkerReachability reachability,
      List<CapacityRequest> capacityRequests,
      List<MachineName> machinesToRelease,
      List<MachineName> spareMachines,
      List<MachineHandover> handovers,
      List<MachineName> misplaced,
      boolean echoesMoveIds,
      ShardDemand demand) {
    /**
     * Returns the report of a controller that can't serve the shard under its current epoch, so
     * that the leader allocates a higher one.
     */
    public static ShardReport refused(ShardId shard, Epoch epoch) {
      return new ShardReport(
          shard,
          epoch,
          epoch,
          true,
          new WorkerReachability(0, 0, List.of()),
          List.of(),
          List.of(),
          List.of(),
          List.of(),
          List.of(),
          false,
          null);
    }
  }

  /**
   * A controller's heartbeat to the leader.
   *
   * @param writer the sender's process
   * @param storeReachable whether the state service answers the sender
   * @param assignmentVersion the version of the machine assignments that the sender knows; negative
   *     if it knows none
   * @param unassignedMachines machines without an assignment whose workers sent heartbeats to the
   *     sender
   * @param misroutedWorkers by shard, the number of workers that recently sent heartbeats to the
   *     sender instead of to the shard's owner
   * @param announcement the build and feature levels that the sender supports; null if it announces
   *     none
   */
  public record Heartbeat(
      ControllerName sender,
      WriterId writer,
      boolean storeReachable,
      long assignmentVersion,
      List<ShardReport> shards,
      List<MachineInfo> unassignedMachines,
      Map<ShardId, Integer> misroutedWorkers,
      Announcement announcement) {}

  /**
   * A shard's lease.
   *
   * @param ttlMs the lease's duration in milliseconds, from the time at which the owner sent its
   *     heartbeat
   */
  public record Lease(ShardId shard, Epoch epoch, long ttlMs) {}

  /** The controller that owns a shard, and its epoch. */
  public record OwnerInfo(ShardId shard, ControllerName controller, Epoch epoch) {}

  /**
   * A machine's assignment to a shard.
   *
   * @param ageMs milliseconds since the machine was assigned
   * @param requiredEpoch the lowest epoch under which heartbeats of the machine's worker count;
   *     {@link Epoch#NONE} if there is only one shard
   * @param handoverRequested whether the owner has to drain the machine and hand it over
   * @param move the move by which the machine is to leave the shard or has come to it; {@link
   *     MoveId#NONE} if there is none
   */
  public record MachineAssignment(
      MachineInfo machine,
      ShardId shard,
      long ageMs,
      Epoch requiredEpoch,
      boolean handoverRequested,
      MoveId move) {}

  /**
   * An offer of which the cloud recently had no machines; it is not requested again for {@code
   * retryAfterMs} milliseconds.
   */
  public record UnavailableOffer(Offer offer, long retryAfterMs) {}

  /**
   * The leader's answer to a heartbeat.
   *
   * @param term the leader's term
   * @param storeReachableByOthers whether the state service answers a controller other than the
   *     heartbeat's sender
   * @param leases the leases of the sender's shards
   * @param owners the owners of the shards that have one
   * @param assignmentVersion the version of the machine assignments after this answer
   * @param isComplete whether {@code assigned} holds all assignments; otherwise it holds those
   *     changed since the version that the heartbeat named
   * @param unassigned if {@code isComplete} is false, the machines whose assignment was removed
   *     since that version; otherwise empty
   * @param released machines that were released to the cloud and no longer exist
   * @param offersWithoutCapacity offers of which the cloud had no machines
   * @param rolloutNotice the feature level's state as the leader knows it; null if the leader does
   *     not know it
   */
  public record HeartbeatAnswer(
      long term,
      boolean storeReachableByOthers,
      List<Lease> leases,
      List<OwnerInfo> owners,
      long assignmentVersion,
      boolean isComplete,
      List<MachineAssignment> assigned,
      List<MachineName> unassigned,
      List<MachineName> released,
      List<UnavailableOffer> offersWithoutCapacity,
      RolloutNotice rolloutNotice) {}
}
