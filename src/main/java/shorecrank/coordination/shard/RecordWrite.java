package shorecrank.coordination.shard;

import shorecrank.coordination.model.Job;
import shorecrank.protocol.UserMessages.JobStatus;

/**
 * A write of a job's record, as it was sent.
 *
 * @param sequence the write's number
 * @param isFinal whether it replaces the record by the final one
 * @param status what users are told of the job once the write is committed
 */
record RecordWrite(Job job, long sequence, boolean isFinal, JobStatus status) {}
