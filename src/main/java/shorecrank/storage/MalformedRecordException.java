package shorecrank.storage;

/**
 * Thrown if a stored value is not a well-formed job record; the message names the field and the
 * fault.
 */
final class MalformedRecordException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedRecordException(String field, String reason) {
    super(field + " " + reason);
  }

  MalformedRecordException(String field, Exception cause) {
    super(field + " is malformed: " + cause.getMessage(), cause);
  }
}
