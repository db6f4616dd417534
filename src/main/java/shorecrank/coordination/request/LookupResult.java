package shorecrank.coordination.request;

/** What became of looking a job up in the state service. */
sealed interface LookupResult {
  /** The job is there. */
  record Found(StoredJob job) implements LookupResult {}

  /** The job was never accepted. */
  record Absent() implements LookupResult {}

  /** Nothing is known of the job. */
  record Unknown() implements LookupResult {}
}
