package shorecrank.sim;

/** Which way messages between a worker and the controllers are cut. */
enum WorkerDirection {
  BOTH,
  TO_WORKER,
  FROM_WORKER;

  /** Whether a cut this way stops what goes that way. */
  boolean includes(WorkerDirection other) {
    return this == BOTH || this == other;
  }
}
