package shorecrank.coordination.leader;

import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.PeerMessages.ShardReport;

/** Decides which shard a machine belongs to, and when it goes to another. */
interface MachineAssigner {
  /** The leader has taken office, or has read everything anew. */
  void began();

  /**
   * Whether all is known that owners have to be told of machines, so that shards may be granted.
   */
  boolean ready();

  /** Once a round, also while no shard may be granted. */
  void look();

  /** Whether an assignment may yet be carried out that is not known here: none other is written. */
  boolean inDoubt();

  /** The shard that gets a machine nobody has asked for. */
  ShardId shardOfNewcomer();

  /** A shard's owner reports, under the shard's epoch. */
  void reported(ShardReport report);

  /** A shard has a new owner, or its owner a new epoch. */
  void minted(ShardId shard);

  /** Once a round. */
  void tick();
}
