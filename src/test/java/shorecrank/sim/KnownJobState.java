package shorecrank.sim;

/**
 * What users had been told of a job at a time.
 *
 * @param finalPhase the phase that it ended with; empty if it was not over
 * @param doneTasks how many tasks were done
 */
record KnownJobState(boolean accepted, String finalPhase, int doneTasks, long atMs) {}
