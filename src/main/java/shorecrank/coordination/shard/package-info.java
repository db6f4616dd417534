/**
 * Ownership of one shard: the lease, the records of the shard's jobs, and the commands to its
 * workers.
 *
 * <p>{@link shorecrank.coordination.shard.ShardOwner} connects the parts. {@code ShardLease} holds
 * the right to command and write. {@code ShardRecovery} reads the records, {@code ShardJobs} and
 * {@code JobLifecycle} keep the jobs, and {@code JobRecordWriter} and {@code WriteOutcomeResolver}
 * write the records under compare-and-swap guards. {@code HeartbeatHandler}, {@code
 * HeartbeatReconciler} and {@code HeartbeatReplies} handle the workers' heartbeats, and {@code
 * CommandPlanner} and {@code DirectCommandSender} command the workers. {@link
 * shorecrank.coordination.shard.MachineRegistry} holds the machines that are assigned to the shard.
 *
 * <p>The package may import {@code shorecrank.coordination.scheduling}, {@code
 * shorecrank.coordination.model} and the packages below them. It is called by the state machine of
 * the controller, in {@code shorecrank.coordination}.
 */
package shorecrank.coordination.shard;
