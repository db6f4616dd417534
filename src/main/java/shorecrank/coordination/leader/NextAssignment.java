package shorecrank.coordination.leader;

import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.ShardId;

/** The next shard of a machine, and the shard's epoch under which the machine is assigned to it. */
record NextAssignment(ShardId shard, Epoch epoch) {}
