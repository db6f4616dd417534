/**
 * Decides where a shard's queued tasks run and how many machines the shard needs: the order of
 * jobs, dependencies between them, placement rounds, bin packing, preemption, scale out and scale
 * in.
 *
 * <p>It derives its decisions from the jobs and machines that {@link
 * shorecrank.coordination.scheduling.ShardView} shows and holds no state of the shard's own. It may
 * import {@code shorecrank.coordination.model} and {@code shorecrank.coordination.step}, {@code
 * shorecrank.storage} for the records of jobs of other shards, and what is below. Its caller is the
 * owner of a shard, in {@code shorecrank.coordination.shard}.
 */
package shorecrank.coordination.scheduling;
