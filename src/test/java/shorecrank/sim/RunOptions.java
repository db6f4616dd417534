package shorecrank.sim;

/**
 * Options for logging and recording a simulation run.
 *
 * @param verbose whether the log lines of the controllers are printed
 * @param measurements receives the costs of steps and messages; null to measure nothing
 * @param digest receives every reply and call of the controllers; null to compute no digest
 */
record RunOptions(boolean verbose, Measurements measurements, OutputDigest digest) {
  /** Options with which a run neither prints nor records anything. */
  static final RunOptions DEFAULT = new RunOptions(false, null, null);
}
