package shorecrank.storage;

import java.util.Set;
import shorecrank.protocol.Ids.Revision;

/** What became of a transaction. */
public sealed interface CommitResult {
  /** It was carried out, at that revision. */
  record Committed(Revision revision) implements CommitResult {}

  /** It was not carried out: the guards of these keys did not hold. */
  record Conflict(Set<String> failedKeys) implements CommitResult {}

  /**
   * It was not carried out: it is larger than the service takes, or malformed.
   *
   * @param answer the body of the service's answer, for the log
   */
  record TooLarge(String answer) implements CommitResult {}

  /** It was not carried out and never will be: the service refused it for its load. */
  record Refused(int status) implements CommitResult {}

  /** It may have been carried out or may yet be; {@code status} is 0 if there was no answer. */
  record Unknown(int status) implements CommitResult {}

  /** Whether it was carried out, as far as is known. */
  default boolean isCommitted() {
    return this instanceof Committed;
  }

  /** Whether it may have been carried out, or may yet be, although that is not known. */
  default boolean isUnknown() {
    return this instanceof Unknown;
  }
}
