package shorecrank.coordination.leader;

import shorecrank.protocol.HeartbeatMessages.MachineInfo;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.ShardId;

/**
 * What the state service holds of a machine.
 *
 * @param epoch the epoch under which the machine is assigned to the shard
 */
record StoredAssignment(MachineInfo machine, ShardId shard, Epoch epoch) {}
