package shorecrank.coordination.shard;

import shorecrank.coordination.model.Job;
import shorecrank.protocol.UserMessages.JobStatus;

/**
 * A write of a job's record, as it was sent.
 *
 * @param sequence the sequence number of the write
 * @param isFinal whether it replaces the record with the final one
 * @param status the job's status that users see once the write is committed
 */
record RecordWrite(Job job, long sequence, boolean isFinal, JobStatus status) {}
