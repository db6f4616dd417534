/**
 * Owns one shard: the lease, the records of its jobs, and what its workers are told.
 *
 * <p>{@link shorecrank.coordination.shard.ShardOwner} joins the parts: {@code ShardLease} holds the
 * right to command and write, {@code ShardRecovery} reads the records, {@code ShardJobs} and {@code
 * JobLifecycle} keep the jobs, {@code JobRecordWriter} and {@code WriteOutcomeResolver} write the
 * records behind compare-and-swap guards, {@code HeartbeatHandler}, {@code HeartbeatReconciler} and
 * {@code HeartbeatReplies} serve the workers, {@code CommandPlanner} and {@code
 * DirectCommandSender} command them, and {@link shorecrank.coordination.shard.MachineRegistry}
 * knows which machines are assigned to the shard.
 *
 * <p>It may import {@code shorecrank.coordination.scheduling}, {@code
 * shorecrank.coordination.model} and what is below. Its caller is the state machine of the
 * controller, in {@code shorecrank.coordination}.
 */
package shorecrank.coordination.shard;
