package shorecrank.sim;

/** A team's guarantee and its limit, in processors; 0 for none. */
record TeamQuota(double guaranteedCpus, double limitCpus) {
  private static final double ROUNDING = 1e-9;

  /** Whether so many processors are within the limit. */
  boolean allows(double cpus) {
    return limitCpus <= 0 || cpus <= limitCpus + ROUNDING;
  }
}
