package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import shorecrank.protocol.PeerRequests.ForwardedRequest;

/** Encodes and decodes the user requests that one controller forwards to another as JSON. */
public final class ForwardedRequestCodec {
  private static final String METHOD = "method";
  private static final String PATH = "path";
  private static final String BODY = "body";

  private ForwardedRequestCodec() {}

  /**
   * Writes a request as JSON.
   *
   * @throws MalformedMessageException if the request's body is not empty and not JSON
   */
  public static ObjectNode write(ForwardedRequest request) throws MalformedMessageException {
    ObjectNode message = Json.object().put(METHOD, request.method()).put(PATH, request.path());
    if (request.body().length > 0) {
      message.set(BODY, Json.read(request.body()));
    }
    return message;
  }

  /** Reads a request; parts that the message lacks are empty. */
  public static ForwardedRequest read(JsonNode message) {
    return new ForwardedRequest(
        Json.text(message.path(METHOD)),
        Json.text(message.path(PATH)),
        Json.bytes(message.path(BODY)));
  }
}
