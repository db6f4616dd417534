package shorecrank.config;

/**
 * A configuration file that cannot be used. The message, which is shown to the operator as one
 * line, names the field and the reason, including the allowed range if there is one.
 */
public final class InvalidConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String field;

  /**
   * A field that is missing, malformed or out of range.
   *
   * @param field its path in the file, such as {@code settings.workers.lease_s}
   * @param reason what is wrong with it, worded to follow the field's name
   */
  public InvalidConfigException(String field, String reason) {
    super(field + " " + reason);
    this.field = field;
  }

  /** A file that cannot be parsed; the parser's message says where. */
  InvalidConfigException(String parserMessage) {
    super(parserMessage);
    this.field = "";
  }

  /** The path of the field; empty if the file as a whole cannot be parsed. */
  public String field() {
    return field;
  }
}
