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
 * The stored record of a job that has not ended.
 *
 * @param spec the job as the user submitted it
 * @param epoch epoch of the shard owner that wrote the record last; 0 until an owner has claimed
 *     the job
 * @param writer the process that wrote the record last
 * @param sequence number of this writer's writes to the record. A writer that got no answer
 *     compares it with its own count to find out which of its writes was committed.
 * @param done the tasks that have ended successfully
 * @param live the ranges of running attempts, in ascending order of their first task
 * @param attemptCount the number of attempts that have been numbered so far
 * @param cancelled whether the user has cancelled the job
 * @param acceptedAtMs when the job was accepted, in wall-clock milliseconds
 * @param readyAtMs when the last of the job's dependencies was done, in wall-clock milliseconds; 0
 *     if the job has no dependencies or the time is not known
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

  /** Prefix of the keys of records of jobs that have not ended. */
  public static final String LIVE_PREFIX = "j/";

  /** Prefix of the keys of records of ended jobs. */
  public static final String FINAL_PREFIX = "f/";

  /**
   * A range of consecutive tasks that were placed on one machine in one round. Tasks of the range
   * that are done no longer run.
   *
   * @param first the number of the first task
   * @param count the number of tasks
   * @param incarnation the machine's incarnation at the placement
   * @param attempt the attempt number that all tasks of the range share
   */
  public record AttemptRange(
      int first, int count, MachineName machine, Incarnation incarnation, AttemptNumber attempt) {}

  /** Returns the key of a job's record while the job has not ended. */
  public static String liveKey(JobId id) {
    return LIVE_PREFIX + id.value();
  }

  /** Returns the key of a job's record after the job has ended. */
  public static String finalKey(JobId id) {
    return FINAL_PREFIX + id.value();
  }

  /** Returns the number of running tasks. */
  public int running() {
    int running = 0;
    for (AttemptRange range : live) {
      int end = range.first + range.count;
      running += range.count - done.get(range.first, end).cardinality();
    }
    return running;
  }

  /** Returns the state of the job as reported to its user. */
  public JobState state() {
    if (cancelled) {
      return JobState.CANCELLED;
    }
    return running() > 0 ? JobState.RUNNING : JobState.QUEUED;
  }

  /** Returns the job's status as reported to its user. */
  public JobStatus jobStatus() {
    return new JobStatus(state(), done.cardinality(), cancelled ? 0 : running());
  }

  /** Returns the same record, marked as cancelled by the user. */
  public JobRecord markedCancelled() {
    return new JobRecord(
        spec, epoch, writer, sequence, done, live, attemptCount, true, acceptedAtMs, readyAtMs);
  }

  /** Encodes the record in the plain form, which all versions read. */
  public ObjectNode write() {
    return JobRecordCodec.writePlain(this);
  }

  /**
   * Encodes the record in the compact form. Versions without job dependencies cannot read it, so it
   * is written only after the state service has refused the plain form for its size.
   */
  public ObjectNode writeCompact() {
    return JobRecordCodec.writeCompact(this);
  }

  /**
   * Encodes the record in the dense form, which versions below feature level 1 cannot read. They
   * find no spec in it, leave the record unchanged, and report the job's state as unknown.
   */
  public ObjectNode writeDense() {
    return JobRecordCodec.writeDense(this);
  }

  /**
   * Reports whether the plain form may be compressed, in which case its size cannot be assumed to
   * be small without encoding the record.
   */
  public boolean isLarge() {
    return JobRecordCodec.isLarge(this);
  }

  /**
   * Reports whether a stored value is a record in the dense form; reads only the fields that it
   * needs.
   */
  public static boolean isDense(JsonNode value) {
    return JobRecordCodec.isDense(value);
  }

  /**
   * Reports whether no shard owner has written a stored record yet; reads only the fields that it
   * needs.
   */
  public static boolean isUnclaimed(JsonNode value) {
    return JobRecordCodec.isUnclaimed(value);
  }

  /**
   * Reports whether a stored record is marked as cancelled by the user; reads only the fields that
   * it needs.
   */
  public static boolean isMarkedCancelled(JsonNode value) {
    return JobRecordCodec.isMarkedCancelled(value);
  }

  /**
   * Decodes a stored record in any form.
   *
   * @return null if the value is not a well-formed record
   */
  public static JobRecord read(JsonNode value) {
    try {
      return JobRecordCodec.read(value);
    } catch (MalformedRecordException e) {
      return null;
    }
  }

  /**
   * Encodes the record of an ended job, which is kept forever.
   *
   * @param state {@link JobState#DONE} or {@link JobState#CANCELLED}
   * @param done the number of tasks that ended successfully
   */
  public static ObjectNode writeFinal(JobState state, int done) {
    return new Final(state, done).write();
  }

  /**
   * The record of an ended job.
   *
   * @param state {@link JobState#DONE} or {@link JobState#CANCELLED}
   * @param done the number of tasks that ended successfully
   */
  public record Final(JobState state, int done) {
    private static final String STATE = "p";
    private static final String DONE_COUNT = "n";
    private static final String DONE = "done";
    private static final String CANCELLED = "withdrawn";

    /** Returns the job's status as reported to its user. */
    public JobStatus jobStatus() {
      return new JobStatus(state, done, 0);
    }

    private ObjectNode write() {
      return Json.object()
          .put(STATE, state == JobState.DONE ? DONE : CANCELLED)
          .put(DONE_COUNT, done);
    }

    /**
     * Decodes the stored record of an ended job.
     *
     * @return null if the value is not a well-formed record
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
