package shorecrank.storage;

import java.util.Set;
import shorecrank.protocol.Ids.Revision;

/** The result of a transaction on the state service. */
public sealed interface CommitResult {
  /** The transaction was committed at the given revision. */
  record Committed(Revision revision) implements CommitResult {}

  /** The transaction was not committed because the guards of these keys failed. */
  record Conflict(Set<String> failedKeys) implements CommitResult {}

  /**
   * The transaction was not committed because it is larger than the state service accepts, or
   * malformed.
   *
   * @param answer the body of the service's answer, for the log
   */
  record TooLarge(String answer) implements CommitResult {}

  /**
   * The transaction was not and will not be committed: the state service refused the request, for
   * example because of its load. {@code status} is the HTTP status.
   */
  record Refused(int status) implements CommitResult {}

  /**
   * The transaction may have been committed or may still be committed later. {@code status} is the
   * HTTP status, or 0 if there was no answer.
   */
  record Unknown(int status) implements CommitResult {}

  /** Reports whether the transaction is known to be committed. */
  default boolean isCommitted() {
    return this instanceof Committed;
  }

  /** Reports whether it is unknown whether the transaction was or will be committed. */
  default boolean isUnknown() {
    return this instanceof Unknown;
  }
}
