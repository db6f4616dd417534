package shorecrank.protocol;

/**
 * A message that no version of its sender would write. It is refused as a whole; the message text
 * is one line that begins with the field.
 */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String field;
  private final String reason;

  /**
   * Names what is wrong.
   *
   * @param field the field's name on the wire
   * @param reason what the field must be, as the predicate of a sentence: "must be ..."
   */
  public MalformedMessageException(String field, String reason) {
    // Anyone can send malformed messages, so they must be cheap: no stack trace.
    super(field + " " + reason, null, false, false);
    this.field = field;
    this.reason = reason;
  }

  /** The field's name on the wire. */
  public String field() {
    return field;
  }

  /** What the field must be. */
  public String reason() {
    return reason;
  }
}
