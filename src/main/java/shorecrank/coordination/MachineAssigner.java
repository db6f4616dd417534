package shorecrank.coordination;

import shorecrank.protocol.Ids.PartId;
import shorecrank.protocol.PeerMessages.ShardReport;

/** Decides which shard a machine belongs to, and when it goes to another. */
interface MachineAssigner {
  /** The leader has taken office, or has read everything anew. */
  void began();

  /** The shard that gets a machine nobody has asked for. */
  PartId shardOfNewcomer();

  /** A shard's owner reports, under the shard's epoch. */
  void reported(ShardReport report);

  /** Once a round. */
  void tick();
}
