package shorecrank.coordination.leader;

import shorecrank.protocol.HeartbeatMessages.ShardReport;
import shorecrank.protocol.Ids.ShardId;

/** Decides which shard a machine belongs to, and when it goes to another. */
interface MachineAssigner {
  /** The leader has begun its term, or has loaded everything again. */
  void beginTerm();

  /**
   * Whether all is known that owners have to be told of machines, so that shards may be granted.
   */
  boolean isReady();

  /** Once a round, also while no shard may be granted. */
  void observe();

  /**
   * Whether an assignment may yet be carried out that is not known here: until that is settled no
   * other is written.
   */
  boolean isUnsettled();

  /** The shard that gets a machine nobody has asked for. */
  ShardId shardForNewMachine();

  /** A shard's owner reports, under the shard's epoch. */
  void handleReport(ShardReport report);

  /** A shard has a new owner, or its owner a new epoch. */
  void handleNewEpoch(ShardId shard);

  /** Once a round, while shards may be granted. */
  void tick();
}
