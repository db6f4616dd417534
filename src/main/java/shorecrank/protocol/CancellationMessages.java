package shorecrank.protocol;

import java.util.List;
import shorecrank.protocol.HeartbeatMessages.OwnerInfo;
import shorecrank.protocol.Ids.JobId;

/**
 * Messages by which controllers tell each other which cancellations they have confirmed to users.
 */
public final class CancellationMessages {
  /** Maximum number of cancellations in an answer if the query names no limit. */
  public static final int DEFAULT_MAX_CANCELLATIONS = 2000;

  private CancellationMessages() {}

  /**
   * The cancellations that a controller has recently confirmed to users.
   *
   * @param spanMs the list is complete for this many milliseconds before the answer was written
   * @param ids the cancelled jobs
   * @param owners the shard owners that the controller knows; empty from versions that don't send
   *     them
   */
  public record ConfirmedCancellations(long spanMs, List<JobId> ids, List<OwnerInfo> owners) {}
}
