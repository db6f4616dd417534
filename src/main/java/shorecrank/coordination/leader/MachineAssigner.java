package shorecrank.coordination.leader;

import shorecrank.protocol.HeartbeatMessages.ShardReport;
import shorecrank.protocol.Ids.ShardId;

/** Decides to which shard a machine is assigned, and when it moves to another shard. */
interface MachineAssigner {
  /**
   * Resets the assigner after the leader has loaded its state, at the start of a term or again
   * within it.
   */
  void beginTerm();

  /**
   * Reports whether shards may be granted: everything that shard owners have to know about machines
   * is loaded.
   */
  boolean isReady();

  /**
   * Reads the assigner's stored state if that is due; called on every tick, also while no shard may
   * be granted.
   */
  void refresh();

  /**
   * Reports whether an assignment of unknown outcome may still be carried out; no other assignment
   * is written until that is settled.
   */
  boolean isUnsettled();

  /** Returns the shard to which a machine is assigned that no shard has requested. */
  ShardId shardForNewMachine();

  /** Handles a report of a shard's owner under the shard's present epoch. */
  void handleReport(ShardReport report);

  /** Handles a new epoch of a shard, of a new or the same owner. */
  void handleNewEpoch(ShardId shard);

  /** Does the periodic work; called on every tick while shards may be granted. */
  void tick();
}
