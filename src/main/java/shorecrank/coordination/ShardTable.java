package shorecrank.coordination;

import java.util.Set;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.NodeLabel;
import shorecrank.protocol.Ids.PartId;

/** The shards as the leader knows them, for whoever assigns machines to them. */
interface ShardTable {
  /** All shards of the fleet. */
  Set<PartId> shards();

  /** The highest epoch that was minted for a shard; {@link Epoch#NONE} if none was. */
  Epoch epoch(PartId shard);

  /** The label of a shard's owner; null if it has none that may be granted its lease. */
  NodeLabel owner(PartId shard);

  /** Whether a shard's owner says that tasks wait. */
  boolean hasQueue(PartId shard);

  /** Reads shards and machines anew: what is known of them may be out of date. */
  void reload();

  /** Has an epoch above {@code least} minted for a shard's present owner. */
  void raiseAbove(PartId shard, Epoch least);
}
