package shorecrank.sim;

/**
 * What users had been told of a job at a time.
 *
 * @param end the phase that it ended with; empty if it was not over
 * @param done how many tasks were done
 */
record Told(boolean accepted, String end, int done, long atMs) {}
