package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import shorecrank.protocol.CancellationMessages.ConfirmedCancellations;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.PeerRequests.ConfirmationQuery;

/** Encodes and decodes queries for confirmed cancellations, and their answers, as JSON. */
public final class CancellationCodec {
  private static final String WITHIN_MS = "withinMs";
  private static final String LIMIT = "most";
  private static final String SPAN_MS = "spanMs";

  private CancellationCodec() {}

  /**
   * Writes a query for the cancellations that were confirmed in the last {@code withinMs}
   * milliseconds.
   *
   * @param limit the maximum number of cancellations in the answer; the default applies if it is
   *     lower
   */
  public static ObjectNode writeQuery(long withinMs, int limit) {
    ObjectNode message = Json.object().put(WITHIN_MS, withinMs);
    // Earlier versions don't know the field, and answer with at most the default number.
    boolean isDefault = limit <= CancellationMessages.DEFAULT_MAX_CANCELLATIONS;
    return isDefault ? message : message.put(LIMIT, limit);
  }

  /** Reads a query; without a limit, or with one below the default, the default limit applies. */
  public static ConfirmationQuery readQuery(JsonNode message) {
    long limit = Math.min(Integer.MAX_VALUE, Json.countOrMinusOne(message.path(LIMIT)));
    return new ConfirmationQuery(
        Json.countOrMinusOne(message.path(WITHIN_MS)),
        (int) Math.max(CancellationMessages.DEFAULT_MAX_CANCELLATIONS, limit));
  }

  /** Writes an answer as JSON. */
  public static ObjectNode write(ConfirmedCancellations confirmed) {
    ObjectNode message = Json.object().put(SPAN_MS, confirmed.spanMs());
    ArrayNode ids = message.putArray(PeerFields.JOB_IDS);
    confirmed.ids().forEach(id -> ids.add(id.value()));
    PeerFields.putOwners(message, confirmed.owners());
    return message;
  }

  /**
   * Reads an answer.
   *
   * @param limit the maximum number of cancellations that an answer may hold
   * @return the answer, or empty if it is malformed or holds more than {@code limit} cancellations
   */
  public static Optional<ConfirmedCancellations> read(JsonNode message, int limit) {
    try {
      return Optional.of(readChecked(message, limit));
    } catch (MalformedMessageException malformed) {
      return Optional.empty();
    }
  }

  private static ConfirmedCancellations readChecked(JsonNode message, int limit)
      throws MalformedMessageException {
    long spanMs = Fields.readCount(message.path(SPAN_MS), SPAN_MS);
    JsonNode array = Fields.readList(message.path(PeerFields.JOB_IDS), PeerFields.JOB_IDS, limit);
    if (!array.isArray()) {
      throw new MalformedMessageException(PeerFields.JOB_IDS, "must be a list");
    }
    List<JobId> ids = new ArrayList<>();
    for (JsonNode id : array) {
      if (!id.isTextual() || !JobSpec.isValidId(id.textValue())) {
        throw new MalformedMessageException(PeerFields.JOB_IDS, "must hold job ids");
      }
      ids.add(new JobId(id.textValue()));
    }
    return new ConfirmedCancellations(spanMs, ids, PeerFields.readOwners(message));
  }
}
