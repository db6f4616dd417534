/**
 * Decides where a shard's queued tasks run and how many machines the shard needs: the order of
 * jobs, dependencies between them, placement rounds, bin packing, preemption, scale-out and
 * scale-in.
 *
 * <p>Decisions are derived from the jobs and machines of a {@link
 * shorecrank.coordination.scheduling.ShardView}; the package does not own the state of the shard.
 * The package may import {@code shorecrank.coordination.model} and {@code
 * shorecrank.coordination.step}, {@code shorecrank.storage} for the records of jobs of other
 * shards, and the packages below these. It is called by the owner of a shard, in {@code
 * shorecrank.coordination.shard}.
 */
package shorecrank.coordination.scheduling;
