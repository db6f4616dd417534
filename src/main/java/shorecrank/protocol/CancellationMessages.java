package shorecrank.protocol;

import java.util.List;
import shorecrank.protocol.HeartbeatMessages.OwnerInfo;
import shorecrank.protocol.Ids.JobId;

/** Confirmed cancellations, of which controllers tell each other. */
public final class CancellationMessages {
  /** How many cancellations an answer holds at most if the asker names no number. */
  public static final int DEFAULT_MAX_CANCELLATIONS = 2000;

  private CancellationMessages() {}

  /**
   * All cancellations that a controller has lately confirmed to users.
   *
   * @param spanMs how far back they reach, in milliseconds before the answer
   * @param owners the shard owners that the controller knows of
   */
  public record ConfirmedCancellations(long spanMs, List<JobId> ids, List<OwnerInfo> owners) {}
}
