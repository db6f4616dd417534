package shorecrank.coordination.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.protocol.UserMessages.JobStatus;

/** Tests what is known of a job's record while writes to it are in flight, committed and read. */
class JobRecordStateTest {
  private static final MonotonicTime NOW = new MonotonicTime(1000);
  private static final Epoch EPOCH = new Epoch(7);
  private static final WriterId WRITER = new WriterId("w-1");
  private static final JobStatus QUEUED = new JobStatus(JobState.QUEUED, 0, 0);

  private final Job job = JobBuilder.job(1).build();
  private final JobRecordState record = job.record();

  @Test
  void onlyOneWriteIsInFlightAtATime() {
    assertTrue(record.isWritable(NOW));
    record.beginWrite();
    assertFalse(record.isWritable(NOW));
    assertFalse(record.canAcceptPlacement(), "the write in flight would not contain a placement");
    record.endWrite();
    assertTrue(record.isWritable(NOW));
  }

  @Test
  void committedWriteClaimsTheRecordAtItsRevision() {
    assertFalse(record.isClaimed());
    record.beginWrite();
    job.recordCommitted(record.sequence(), new Revision(9), EPOCH, QUEUED);
    assertTrue(record.isClaimed());
    assertTrue(record.hasOwner());
    assertEquals(new Revision(9), record.revision());
    assertEquals(record.sequence(), record.committedSequence());
  }

  @Test
  void urgencyIsNeverLoweredBeforeTheNextWrite() {
    job.requestWrite(WriteUrgency.LATER, NOW);
    job.requestWrite(WriteUrgency.NOW, NOW.plus(5));
    job.requestWrite(WriteUrgency.LATER, NOW.plus(9));
    assertEquals(WriteUrgency.NOW, record.urgency());
    assertEquals(NOW, record.urgentSince());
    record.beginWrite();
    assertEquals(WriteUrgency.NONE, record.urgency());
  }

  @Test
  void ownWriteIsRecognizedByItsWriterAndSequenceNumber() {
    assertFalse(record.isOwnWrite(job.toRecord(EPOCH, WRITER), WRITER), "before the first write");
    record.beginWrite();
    assertTrue(record.isOwnWrite(job.toRecord(EPOCH, WRITER), WRITER));
    assertFalse(record.isOwnWrite(job.toRecord(EPOCH, WRITER), new WriterId("w-2")));
  }

  @Test
  void teamUseIsKnownOnceNoEarlierOwnerCanWrite() {
    assertTrue(record.isTeamUsageKnown(), "no owner has written the record");
    record.requireClaim();
    assertFalse(record.isTeamUsageKnown());
    record.beginWrite();
    job.recordCommitted(record.sequence(), new Revision(9), EPOCH, QUEUED);
    assertTrue(record.isTeamUsageKnown());
  }

  @Test
  void recordIsOutdatedOnceAWatchShowsALaterRevision() {
    record.observeRevision(new Revision(5));
    record.observeRevision(new Revision(3));
    assertTrue(record.isOutdated());
    job.recordCommitted(record.sequence(), new Revision(5), EPOCH, QUEUED);
    assertFalse(record.isOutdated());
  }
}
