/**
 * What a shard's owner knows of its jobs and machines: each class keeps the invariants of one part
 * of the state, and decides and sends nothing.
 *
 * <p>{@link shorecrank.coordination.model.Job} joins a job's tasks, its record with the writes to
 * it, and when it may be placed; {@link shorecrank.coordination.model.Machine} joins a machine's
 * worker session, assignment, health, images and capacity. {@link
 * shorecrank.coordination.model.WorkerLiveness} is the failure detector for workers, and {@link
 * shorecrank.coordination.model.CancellationLog} the evidence of confirmed cancellations.
 *
 * <p>It may import {@code shorecrank.coordination.step}, {@code shorecrank.storage} for the records
 * of jobs, {@code shorecrank.config} and {@code shorecrank.protocol}. Its callers are {@code
 * shorecrank.coordination.scheduling}, {@code shorecrank.coordination.shard}, and for cancellations
 * {@code shorecrank.coordination.request} and {@code shorecrank.coordination}.
 */
package shorecrank.coordination.model;
