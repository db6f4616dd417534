package shorecrank.coordination.leader;

import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.PeerMessages.MachineInfo;

/**
 * What the state service holds of a machine.
 *
 * @param term the epoch under which the machine is assigned to the shard
 */
record StoredAssignment(MachineInfo machine, ShardId shard, Epoch term) {}
