package shorecrank.protocol;

/**
 * Thrown when a message is not well formed. No version of a correct sender writes such a message,
 * so it is rejected as a whole. The exception's text is one line that begins with the field's name.
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
    // Anyone can send malformed messages, so refusing one must cost little: no stack trace.
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
