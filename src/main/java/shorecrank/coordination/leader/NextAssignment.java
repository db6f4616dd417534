package shorecrank.coordination.leader;

import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.ShardId;

/** A machine's next shard, and the epoch under which it is assigned there. */
record NextAssignment(ShardId shard, Epoch epoch) {}
