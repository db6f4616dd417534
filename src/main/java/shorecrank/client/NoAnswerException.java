package shorecrank.client;

/**
 * Thrown if no controller answers a request in time. If the request was an order, it may have been
 * carried out.
 */
final class NoAnswerException extends Exception {
  private static final long serialVersionUID = 1L;

  NoAnswerException(String reason) {
    super(reason);
  }
}
