package shorecrank.daemon;

/** The daemon cannot start; the message is the one line that the operator sees. */
final class StartupException extends Exception {
  private static final long serialVersionUID = 1L;

  StartupException(String message) {
    super(message);
  }

  StartupException(String message, Exception cause) {
    super(message, cause);
  }
}
