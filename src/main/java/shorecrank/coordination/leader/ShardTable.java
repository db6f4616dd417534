package shorecrank.coordination.leader;

import java.util.Set;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.ShardId;

/** The leader's shards, as the assigners of machines see them. */
interface ShardTable {
  /** Returns the numbers of all shards. */
  Set<ShardId> shards();

  /** Returns the highest epoch that was allocated for a shard; {@link Epoch#NONE} if none was. */
  Epoch epoch(ShardId shard);

  /** Returns the owner of a shard; null if the shard has no owner whose lease may be renewed. */
  ControllerName owner(ShardId shard);

  /** Reports whether tasks are queued in a shard, by its owner's last report. */
  boolean hasQueuedTasks(ShardId shard);

  /** Reads shards and machines again, because the state in memory may be outdated. */
  void reload();

  /** Allocates an epoch above {@code lowerBound} for a shard's present owner. */
  void raiseEpochAbove(ShardId shard, Epoch lowerBound);
}
