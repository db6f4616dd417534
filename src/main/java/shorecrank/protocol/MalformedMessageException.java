package shorecrank.protocol;

/**
 * Thrown when a message is not well formed, which no version of its sender would write. The message
 * is rejected as a whole. The exception's text is one line that begins with the field's name.
 */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String field;
  private final String reason;

  /**
   * Creates an exception for a field.
   *
   * @param field the field's name on the wire
   * @param reason what the field must be, as the predicate of a sentence: "must be ..."
   */
  public MalformedMessageException(String field, String reason) {
    // Without a stack trace, as anyone can send many malformed messages and they must cost little.
    super(field + " " + reason, null, false, false);
    this.field = field;
    this.reason = reason;
  }

  /** Returns the field's name on the wire. */
  public String field() {
    return field;
  }

  /** Returns what the field must be, as the predicate of a sentence. */
  public String reason() {
    return reason;
  }
}
