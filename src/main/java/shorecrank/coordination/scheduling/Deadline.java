package shorecrank.coordination.scheduling;

/**
 * When a job has to have ended, for its own sake or for that of one that depends on it.
 *
 * @param atMs the time on the wall clock, in milliseconds
 * @param jobClass the class of the job whose objective it is
 */
record Deadline(double atMs, String jobClass) {}
