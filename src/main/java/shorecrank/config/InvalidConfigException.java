package shorecrank.config;

/**
 * Thrown if a configuration file is invalid. The message is shown to the operator as one line; it
 * names the field, what is wrong with its value, and the allowed range if there is one.
 */
public final class InvalidConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String field;

  /**
   * Creates an exception for a field that is missing, malformed or out of range.
   *
   * @param field the field's path in the file, such as {@code settings.workers.lease_s}
   * @param reason what is wrong with the value; the message is the path followed by this text
   */
  public InvalidConfigException(String field, String reason) {
    super(field + " " + reason);
    this.field = field;
  }

  /** Creates an exception for a file that cannot be parsed; the parser's message gives the line. */
  InvalidConfigException(String parserMessage) {
    super(parserMessage);
    this.field = "";
  }

  /** Returns the path of the invalid field; empty if the file cannot be parsed. */
  public String field() {
    return field;
  }
}
