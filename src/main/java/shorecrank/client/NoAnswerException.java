package shorecrank.client;

/** No controller could tell in time; an order may have been carried out. */
final class NoAnswerException extends Exception {
  private static final long serialVersionUID = 1L;

  NoAnswerException(String reason) {
    super(reason);
  }
}
