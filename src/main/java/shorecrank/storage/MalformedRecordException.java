package shorecrank.storage;

/** A stored value that is not a job record; the message names the field and what is wrong in it. */
final class MalformedRecordException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedRecordException(String field, String reason) {
    super(field + " " + reason);
  }

  MalformedRecordException(String field, Exception cause) {
    super(field + " is malformed: " + cause.getMessage(), cause);
  }
}
