package shorecrank.sim;

/** A team's guarantee and limit, in processors; 0 for none. */
record TeamQuota(double guaranteedCpus, double limitCpus) {
  private static final double ROUNDING_TOLERANCE = 1e-9;

  /** Reports whether this number of processors is within the limit. */
  boolean allows(double cpus) {
    return limitCpus <= 0 || cpus <= limitCpus + ROUNDING_TOLERANCE;
  }
}
