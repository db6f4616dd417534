package shorecrank.coordination.request;

import java.util.Optional;
import java.util.function.Consumer;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.UserMessages.JobStatus;

/** Queries the owners of shards, on this or other controllers, for the status of jobs. */
public interface OwnerQueries {
  /** The answer of a shard's owner about one of its jobs. */
  record OwnerAnswer(ShardId shard, JobStatus status) {}

  /**
   * Returns where the owner is that a query would ask.
   *
   * @param shard the job's shard; empty if it is not known
   */
  QuerySource locate(Optional<ShardId> shard);

  /**
   * Queries the status of a job.
   *
   * @param shard the job's shard; empty if it is not known, so that the owners of all shards are
   *     asked
   * @param callback receives the answer; empty if no owner knows the status or answers
   */
  void query(Optional<ShardId> shard, JobId job, Consumer<Optional<OwnerAnswer>> callback);
}
