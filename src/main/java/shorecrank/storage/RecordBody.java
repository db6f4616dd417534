package shorecrank.storage;

import java.util.BitSet;
import java.util.List;
import shorecrank.protocol.JobSpec;
import shorecrank.storage.JobRecord.AttemptRange;

/**
 * The part of a job record that the stored forms encode differently.
 *
 * @param spec the job as the user submitted it
 * @param done the tasks that have ended successfully
 * @param live the ranges of running attempts, in ascending order of their first task
 */
record RecordBody(JobSpec spec, BitSet done, List<AttemptRange> live) {}
