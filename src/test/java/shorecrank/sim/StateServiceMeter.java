package shorecrank.sim;

/** Counts what the state service is asked for, altogether and within each second of the clock. */
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

  /** A request comes, with so many changes. */
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

  /** A transaction is refused for its size. */
  void addRefusedForSize() {
    refusedForSize++;
  }

  /** All requests so far. */
  int requests() {
    return requests;
  }

  /** The most requests that came within one second of the clock. */
  int largestRequestsPerS() {
    return largestRequestsPerS;
  }

  /** The most changes that were asked for within one second of the clock. */
  int largestChangesPerS() {
    return largestChangesPerS;
  }

  /** Transactions refused for their size. */
  int refusedForSize() {
    return refusedForSize;
  }
}
