/**
 * The state that a shard owner holds of its jobs and machines. Each class keeps the invariants of
 * one part of that state; scheduling decisions and commands to workers are made in other packages.
 *
 * <p>{@link shorecrank.coordination.model.Job} combines a job's tasks, its record with the writes
 * to it, and its scheduling state. {@link shorecrank.coordination.model.Machine} combines a
 * machine's worker session, assignment, health, images and capacity. {@link
 * shorecrank.coordination.model.WorkerLiveness} is the failure detector for workers, and {@link
 * shorecrank.coordination.model.CancellationLog} keeps the cancellations that were confirmed to
 * users.
 *
 * <p>The package may import {@code shorecrank.coordination.step}, {@code shorecrank.storage} for
 * the records of jobs, {@code shorecrank.config} and {@code shorecrank.protocol}. Its callers are
 * {@code shorecrank.coordination.scheduling}, {@code shorecrank.coordination.shard}, and for
 * cancellations {@code shorecrank.coordination.request} and {@code shorecrank.coordination}.
 */
package shorecrank.coordination.model;
