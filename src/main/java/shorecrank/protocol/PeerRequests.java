package shorecrank.protocol;

import java.util.List;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.ShardId;

/** Requests between controllers other than heartbeats. */
public final class PeerRequests {
  private PeerRequests() {}

  /**
   * A user's request that another controller forwards unchanged.
   *
   * @param method the HTTP method; empty if the message lacks it
   * @param path the path; empty if the message lacks it
   * @param body the bytes of the body
   */
  public record ForwardedRequest(String method, String path, byte[] body) {}

  /** A query for the statuses of a shard's jobs, sent to the shard's owner. */
  public record StatusQuery(ShardId shard, List<JobId> jobs) {}

  /**
   * A query for the cancellations that a controller has recently confirmed to users.
   *
   * @param withinMs the maximum age of a confirmation, in milliseconds; negative if the query is
   *     malformed
   * @param limit the maximum number of cancellations in the answer
   */
  public record ConfirmationQuery(long withinMs, int limit) {
    /** Reports whether the query lacks a valid maximum age. */
    public boolean isMalformed() {
      return withinMs < 0;
    }
  }
}
