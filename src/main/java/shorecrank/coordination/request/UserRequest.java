package shorecrank.coordination.request;

/**
 * An HTTP request of a user.
 *
 * @param reply the handle under which the answer is sent
 * @param path the path without the query string
 * @param isForwarded whether another controller forwarded the request; it is then not forwarded
 *     again
 */
public record UserRequest(
    long reply, String method, String path, byte[] body, boolean isForwarded) {}
