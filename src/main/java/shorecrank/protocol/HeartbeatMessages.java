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
 * with leases, owners and machine assignments.
 */
public final class HeartbeatMessages {
  private HeartbeatMessages() {}

  /** A machine that a controller has seen, or that is assigned to a shard. */
  public record MachineInfo(MachineName name, String type, String zone, boolean spot) {}

  /** So many machines of an offer that a shard asks the leader to rent. */
  public record CapacityRequest(Offer offer, int count) {}

  /**
   * How many of its machines' workers an owner does not hear.
   *
   * @param expected machines that it should hear
   * @param unheard those of them that it does not hear
   * @param unreachableZones zones in which most of them are
   */
  public record WorkerReachability(int expected, int unheard, List<String> unreachableZones) {}

  /**
   * A machine that its owner has emptied on an order.
   *
   * @param move the order; {@link MoveId#NONE} from versions that don't repeat it
   */
  public record MachineHandover(MachineName machine, MoveId move) {}

  /**
   * What an owner reports of one shard.
   *
   * @param refusedEpoch the epoch of a record that refused the owner; {@link Epoch#NONE} if none
   *     did
   * @param hasQueuedTasks whether tasks wait, or the owner has not loaded its jobs yet
   * @param capacityRequests machines to be rented
   * @param machinesToRelease machines to be returned to the cloud
   * @param spareMachines machines that have been empty for a while
   * @param handovers machines emptied to be handed over to another shard
   * @param misplaced machines that records of this shard name although they are assigned to another
   * @param echoesMoveIds whether the owner repeats the order's id when it hands a machine over
   * @param demand what the shard needs and could give up; null where shares are not enabled
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
    /** The report of an owner that can't serve the shard under its present epoch. */
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
   * A controller's heartbeat.
   *
   * @param writer the sender's process
   * @param storeReachable whether the state service answers the sender
   * @param assignmentVersion of the assignments that the sender knows; negative if it knows none
   * @param seenMachines machines whose workers sent their heartbeats to the sender
   * @param misroutedWorkers by shard, how many workers lately reported here and were sent on to
   *     their owner
   * @param announcement the levels that the sender supports; null if it announces none
   */
  public record Heartbeat(
      ControllerName sender,
      WriterId writer,
      boolean storeReachable,
      long assignmentVersion,
      List<ShardReport> shards,
      List<MachineInfo> seenMachines,
      Map<ShardId, Integer> misroutedWorkers,
      Announcement announcement) {}

  /**
   * A shard's lease.
   *
   * @param ttlMs how long it runs, counted from when the owner sent its heartbeat
   */
  public record Lease(ShardId shard, Epoch epoch, long ttlMs) {}

  /** Which controller owns a shard. */
  public record OwnerInfo(ShardId shard, ControllerName controller, Epoch epoch) {}

  /**
   * A machine's shard.
   *
   * @param ageMs time since the machine was assigned
   * @param requiredEpoch the lowest epoch under which its worker's heartbeats count; {@link
   *     Epoch#NONE} where there is only one shard
   * @param handoverRequested whether the owner is to empty the machine and hand it over
   * @param move the order under which it is to be handed over, or has just come
   */
  public record MachineAssignment(
      MachineInfo machine,
      ShardId shard,
      long ageMs,
      Epoch requiredEpoch,
      boolean handoverRequested,
      MoveId move) {}

  /** An offer that the cloud lately refused; it is not asked for again for {@code retryAfterMs}. */
  public record UnavailableOffer(Offer offer, long retryAfterMs) {}

  /**
   * The leader's answer to a heartbeat.
   *
   * @param term the leader's term
   * @param storeReachableByOthers whether the state service answers another controller
   * @param assignmentVersion of the assignments after this answer
   * @param isComplete whether {@code assigned} holds all assignments; else what changed since the
   *     asker's version
   * @param unassigned machines that no longer belong to the asker's shards
   * @param released machines that no longer exist
   * @param offersWithoutCapacity offers that the cloud refused
   * @param rolloutNotice the feature level as the leader knows it; null if it says nothing
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
