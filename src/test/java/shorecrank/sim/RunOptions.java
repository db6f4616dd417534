package shorecrank.sim;

/**
 * What is taken of a run besides its result.
 *
 * @param verbose whether what controllers log is printed
 * @param measurements takes what steps and messages cost; null if nobody asks
 * @param digest takes every reply and call of the controllers; null if nobody asks
 */
record RunOptions(boolean verbose, Measurements measurements, OutputDigest digest) {
  /** Nothing is taken. */
  static final RunOptions DEFAULT = new RunOptions(false, null, null);
}
