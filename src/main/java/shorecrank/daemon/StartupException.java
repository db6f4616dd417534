package shorecrank.daemon;

/** Thrown if the daemon cannot start. The message is shown to the operator as one line. */
final class StartupException extends Exception {
  private static final long serialVersionUID = 1L;

  StartupException(String message) {
    super(message);
  }

  StartupException(String message, Exception cause) {
    super(message, cause);
  }
}
