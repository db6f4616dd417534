package shorecrank.coordination.scheduling;

/**
 * The time by which a job has to end, to meet an objective of its own or of a dependent job.
 *
 * @param atMs wall-clock time in milliseconds since 1970
 * @param jobClass the class of the job that has the objective
 */
record Deadline(double atMs, String jobClass) {}
