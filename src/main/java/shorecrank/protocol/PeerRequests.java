package shorecrank.protocol;

import java.util.List;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.ShardId;

/** What controllers ask each other besides heartbeats. */
public final class PeerRequests {
  private PeerRequests() {}

  /**
   * A user's request that another controller forwards, as it came.
   *
   * @param method the HTTP method; empty if the message names none
   * @param path the path; empty if the message names none
   * @param body the body's bytes
   */
  public record ForwardedRequest(String method, String path, byte[] body) {}

  /** A question where jobs of a shard stand, for the shard's owner. */
  public record StatusQuery(ShardId shard, List<JobId> jobs) {}

  /**
   * A question which cancellations were confirmed to users lately.
   *
   * @param withinMs how far back it reaches, in milliseconds; negative if it is malformed
   * @param limit the most cancellations that the asker takes
   */
  public record ConfirmationQuery(long withinMs, int limit) {
    /** Whether the question does not say how far back it reaches. */
    public boolean isMalformed() {
      return withinMs < 0;
    }
  }
}
