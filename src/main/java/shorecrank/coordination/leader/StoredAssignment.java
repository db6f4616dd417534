package shorecrank.coordination.leader;

import shorecrank.protocol.HeartbeatMessages.MachineInfo;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.ShardId;

/**
 * A machine's assignment as stored in the state service.
 *
 * @param epoch the shard's epoch under which the machine is assigned
 */
record StoredAssignment(MachineInfo machine, ShardId shard, Epoch epoch) {}
