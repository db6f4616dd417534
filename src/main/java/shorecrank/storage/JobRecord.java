package shorecrank.storage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.BitSet;
import java.util.List;
import shorecrank.protocol.Ids.AttemptNumber;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.Incarnation;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.Json;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.protocol.UserMessages.JobStatus;

/**
 * The record of an unfinished job, as it is kept in the state store.
 *
 * @param spec what the user submitted
 * @param epoch of the shard owner that wrote the record; 0 until one has claimed it
 * @param writer the process that wrote the record
 * @param sequence counts the writer's writes to this record, so that a writer without an answer can
 *     tell which of its writes was carried out
 * @param done the tasks that have ended successfully
 * @param live the ranges of running attempts, in ascending order of their first task
 * @param attemptCount how many attempts have been numbered so far
 * @param cancelled whether the user has cancelled the job
 * @param acceptedAtMs when the job was accepted, in wall-clock milliseconds
 * @param readyAtMs when the last job that this one depends on was done, in wall-clock milliseconds;
 *     0 if it depends on none or that is not known
 */
public record JobRecord(
    JobSpec spec,
    Epoch epoch,
    WriterId writer,
    long sequence,
    BitSet done,
    List<AttemptRange> live,
    long attemptCount,
    boolean cancelled,
    long acceptedAtMs,
    long readyAtMs) {

  /** Prefix of the keys of unfinished jobs' records. */
  public static final String LIVE_PREFIX = "j/";

  /** Prefix of the keys of ended jobs' records. */
  public static final String FINAL_PREFIX = "f/";

  /**
   * Neighbouring tasks that were placed on one machine in one round. Those already done do not
   * count as running.
   */
  public record AttemptRange(
      int first, int count, MachineName machine, Incarnation incarnation, AttemptNumber attempt) {}

  /** The key of a job's record until the job has ended. */
  public static String liveKey(JobId id) {
    return LIVE_PREFIX + id.value();
  }

  /** The key of a job's record after the job has ended. */
  public static String finalKey(JobId id) {
    return FINAL_PREFIX + id.value();
  }

  /** The number of tasks that run. */
  public int running() {
    int running = 0;
    for (AttemptRange range : live) {
      int end = range.first + range.count;
      running += range.count - done.get(range.first, end).cardinality();
    }
    return running;
  }

  /** The state of the job, as its user sees it. */
  public JobState state() {
    if (cancelled) {
      return JobState.CANCELLED;
    }
    return running() > 0 ? JobState.RUNNING : JobState.QUEUED;
  }

  /** What the job's user is told of it. */
  public JobStatus jobStatus() {
    return new JobStatus(state(), done.cardinality(), cancelled ? 0 : running());
  }

  /** The same record marked as cancelled. */
  public JobRecord markedCancelled() {
    return new JobRecord(
        spec, epoch, writer, sequence, done, live, attemptCount, true, acceptedAtMs, readyAtMs);
  }

  /** Encodes the record in the plain form, which every version reads. */
  public ObjectNode write() {
    return JobRecordCodec.writePlain(this);
  }

  /**
   * Encodes the record in the compact form, for where the store takes no larger value. Versions
   * before job dependencies cannot read it, so it is written only once the store has refused the
   * plain form for its size.
   */
  public ObjectNode writeCompact() {
    return JobRecordCodec.writeCompact(this);
  }

  /**
   * Encodes the record in the dense form, which only versions from feature level 1 on read. Earlier
   * versions find no spec in it, leave it alone, and answer that they cannot tell.
   */
  public ObjectNode writeDense() {
    return JobRecordCodec.writeDense(this);
  }

  /** Whether the plain form may be compressed, so that its size is not small for certain. */
  public boolean isLarge() {
    return JobRecordCodec.isLarge(this);
  }

  /** Whether a stored value is a record in the dense form; does not decode all of it. */
  public static boolean isDense(JsonNode value) {
    return JobRecordCodec.isDense(value);
  }

  /** Whether no owner has written a stored record yet; does not decode all of it. */
  public static boolean isUnclaimed(JsonNode value) {
    return JobRecordCodec.isUnclaimed(value);
  }

  /** Whether a stored record is marked as cancelled by its user; does not decode all of it. */
  public static boolean isMarkedCancelled(JsonNode value) {
    return JobRecordCodec.isMarkedCancelled(value);
  }

  /**
   * Decodes a stored record of any form.
   *
   * @return null if the value is no such record
   */
  public static JobRecord read(JsonNode value) {
    try {
      return JobRecordCodec.read(value);
    } catch (MalformedRecordException e) {
      return null;
    }
  }

  /** Encodes the short record that is kept for ever once a job has ended. */
  public static ObjectNode writeFinal(JobState state, int done) {
    return new Final(state, done).write();
  }

  /**
   * The record of an ended job.
   *
   * @param state done or cancelled
   * @param done the number of tasks that ended successfully
   */
  public record Final(JobState state, int done) {
    private static final String STATE = "p";
    private static final String DONE_COUNT = "n";
    private static final String DONE = "done";
    private static final String CANCELLED = "withdrawn";

    /** What the job's user is told of it. */
    public JobStatus jobStatus() {
      return new JobStatus(state, done, 0);
    }

    private ObjectNode write() {
      return Json.object()
          .put(STATE, state == JobState.DONE ? DONE : CANCELLED)
          .put(DONE_COUNT, done);
    }

    /**
     * Decodes a stored record.
     *
     * @return null if the value is no such record
     */
    public static Final read(JsonNode value) {
      long done = Json.countOrMinusOne(value.path(DONE_COUNT));
      if (done < 0 || done > JobSpec.MAX_TASKS) {
        return null;
      }
      return switch (Json.text(value.path(STATE))) {
        case DONE -> new Final(JobState.DONE, (int) done);
        case CANCELLED -> new Final(JobState.CANCELLED, (int) done);
        default -> null;
      };
    }
  }
}
