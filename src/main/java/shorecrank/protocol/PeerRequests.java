package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.ShardId;

/** Requests between controllers as records, and the answer to a refused heartbeat. */
public final class PeerRequests {
  private static final String REACHES_STORE = "stateOk";

  private PeerRequests() {}

  /** A user's request that another controller passes on. */
  public record ForwardedRequest(String method, String path, byte[] body) {}

  /** A question where jobs of a shard stand, for the shard's owner. */
  public record StatusQuery(ShardId shard, List<JobId> jobs) {}

  /**
   * A question which cancellations were confirmed to users lately.
   *
   * @param withinMs how far it reaches back; negative if malformed
   * @param limit the most jobs that the asker takes
   */
  public record ConfirmationQuery(long withinMs, int limit) {
    /** Whether the message makes no sense. */
    public boolean isMalformed() {
      return withinMs < 0;
    }
  }

  /** Reads a forwarded request; fields that are missing are empty. */
  public static ForwardedRequest readForwarded(byte[] body) {
    JsonNode message = Json.parse(body);
    return new ForwardedRequest(
        PeerMessages.relayedMethod(message),
        PeerMessages.relayedPath(message),
        PeerMessages.relayedBody(message));
  }

  /** Writes a request to be forwarded. */
  public static ObjectNode write(ForwardedRequest request) {
    return PeerMessages.relay(request.method, request.path, request.body);
  }

  /** Reads a status query; entries that are no job ids are left out. */
  public static StatusQuery readStatusQuery(byte[] body) {
    JsonNode message = Json.parse(body);
    return new StatusQuery(PeerMessages.askedPart(message), PeerMessages.asked(message));
  }

  /** Reads a question for confirmed cancellations. */
  public static ConfirmationQuery readConfirmationQuery(byte[] body) {
    JsonNode message = Json.parse(body);
    return new ConfirmationQuery(
        PeerMessages.readConfirmedWithin(message), PeerMessages.readConfirmedMost(message));
  }

  /** Writes the answer to a heartbeat that cannot be answered by leases. */
  public static ObjectNode heartbeatRefused(boolean reachesStore) {
    return Json.object().put(REACHES_STORE, reachesStore);
  }

  /** Whether the controller that refused a heartbeat reaches the state service; true if unsaid. */
  public static boolean reachesStore(JsonNode refusal) {
    return refusal.path(REACHES_STORE).asBoolean(true);
  }
}
