package shorecrank.coordination.request;

/** The result of looking up a job in the state service. */
sealed interface LookupResult {
  /** The job has a live or a final record. */
  record Found(StoredJob job) implements LookupResult {}

  /** The job has no record: it was never accepted. */
  record Absent() implements LookupResult {}

  /** The state service did not answer, or the record is unreadable. */
  record Unknown() implements LookupResult {}
}
