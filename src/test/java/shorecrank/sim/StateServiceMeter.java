package shorecrank.sim;

/** Counts the requests to the state service, in total and per second of simulated time. */
final class StateServiceMeter {
  private static final long MS_PER_S = 1000;

  private final Simulation sim;
  private int requests;
  private int largestRequestsPerS;
  private int largestChangesPerS;
  private long second = -1;
  private int requestsThisSecond;
  private int changesThisSecond;
  private int refusedForSize;

  StateServiceMeter(Simulation sim) {
    this.sim = sim;
  }

  /**
   * Counts a request.
   *
   * @param changes number of changes in it
   */
  void add(int changes) {
    if (sim.now() / MS_PER_S != second) {
      second = sim.now() / MS_PER_S;
      requestsThisSecond = 0;
      changesThisSecond = 0;
    }
    requests++;
    requestsThisSecond++;
    changesThisSecond += changes;
    largestRequestsPerS = Math.max(largestRequestsPerS, requestsThisSecond);
    largestChangesPerS = Math.max(largestChangesPerS, changesThisSecond);
  }

  /** Counts a transaction that was rejected because of its size. */
  void addRefusedForSize() {
    refusedForSize++;
  }

  /** Returns the number of requests so far. */
  int requests() {
    return requests;
  }

  /** Returns the largest number of requests within a second of simulated time. */
  int largestRequestsPerS() {
    return largestRequestsPerS;
  }

  /** Returns the largest number of requested changes within a second of simulated time. */
  int largestChangesPerS() {
    return largestChangesPerS;
  }

  /** Returns the number of transactions that were rejected because of their size. */
  int refusedForSize() {
    return refusedForSize;
  }
}
