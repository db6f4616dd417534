package shorecrank.coordination.leader;

import java.util.Set;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.ShardId;

/** The shards as the leader knows them, for whoever assigns machines to them. */
interface ShardTable {
  /** All shards of the fleet. */
  Set<ShardId> shards();

  /** The highest epoch that was allocated for a shard; {@link Epoch#NONE} if none was. */
  Epoch epoch(ShardId shard);

  /** The label of a shard's owner; null if it has none that may be granted its lease. */
  ControllerName owner(ShardId shard);

  /** Whether a shard's owner says that tasks wait. */
  boolean hasQueuedTasks(ShardId shard);

  /** Reads shards and machines anew: what is known of them may be out of date. */
  void reload();

  /** Has an epoch above {@code lowerBound} allocated for a shard's present owner. */
  void raiseEpochAbove(ShardId shard, Epoch lowerBound);
}
