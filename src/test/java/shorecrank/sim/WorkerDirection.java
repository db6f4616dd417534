package shorecrank.sim;

/** Direction in which messages between a worker and the controllers are cut. */
enum WorkerDirection {
  BOTH,
  TO_WORKER,
  FROM_WORKER;

  /** Reports whether a cut in this direction stops messages in the other one. */
  boolean includes(WorkerDirection other) {
    return this == BOTH || this == other;
  }
}
