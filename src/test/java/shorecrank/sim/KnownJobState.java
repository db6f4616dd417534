package shorecrank.sim;

/**
 * What users had been told about a job at a point in time.
 *
 * @param accepted whether a user had been told that the job is accepted
 * @param finalPhase the final phase of the job; empty if no user had been told one
 * @param doneTasks the highest number of completed tasks that a user had been told
 * @param atMs the simulated time of this snapshot, in milliseconds
 */
record KnownJobState(boolean accepted, String finalPhase, int doneTasks, long atMs) {}
