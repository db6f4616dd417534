package shorecrank.coordination.request;

/**
 * A user's request.
 *
 * @param reply where the answer goes
 * @param path without a query
 * @param isForwarded whether another controller passed it on, so that it is not passed on again
 */
public record UserRequest(
    long reply, String method, String path, byte[] body, boolean isForwarded) {}
