package shorecrank.coordination.shard;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.JobRecordState;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.model.WriteUrgency;
import shorecrank.coordination.scheduling.SchedulingQueue;
import shorecrank.coordination.shard.RecordValueCodec.EncodedRecord;
import shorecrank.coordination.shard.RecordValueCodec.Form;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.RolloutMessages;
import shorecrank.protocol.StoreMessages;
import shorecrank.protocol.StoreMessages.Transaction;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.protocol.UserMessages.JobStatus;
import shorecrank.rollout.Feature;
import shorecrank.rollout.FeatureGate;
import shorecrank.storage.CommitResult;
import shorecrank.storage.JobRecord;
import shorecrank.storage.RateLimiter;

/**
 * Writes the records of a shard's jobs in batches. A compare-and-swap guard on each record's last
 * known revision makes the writes of a stale owner fail.
 */
final class JobRecordWriter {
  private static final int COMMIT_TIMEOUT_MS = 2000;
  private static final int MAX_IN_FLIGHT = 3;

  /** Largest size, in bytes, of an attempt range in a compressed record. */
  private static final int RANGE_BYTES = 12;

  /** Largest size, in bytes, of a final record in a transaction. */
  private static final int FINAL_RECORD_BYTES = 200;

  /** Bytes that a write takes in a transaction in addition to its value. */
  private static final int WRITE_OVERHEAD_BYTES = 300;

  private static final int BYTES_PER_KB = 1024;

  /**
   * Above this fraction of the maximum size of a value, a record drops its uncommitted placements.
   */
  private static final double SHRINK_FRACTION = 0.95;

  /**
   * Attempt ranges are added while a record is below this fraction of the maximum size of a value.
   */
  private static final double FILL_FRACTION = 0.9;

  /** Pause before a record is written again that is too large even in the compact form. */
  private static final int TOO_LARGE_PAUSE_MS = 2000;

  /**
   * Shortest pause of all writes after a transaction that was neither committed nor refused for a
   * guard or its size. A random time below {@link #UNKNOWN_PAUSE_SPREAD_MS} is added.
   */
  private static final int UNKNOWN_PAUSE_MS = 80;

  private static final int UNKNOWN_PAUSE_SPREAD_MS = 200;

  /** Priority of a record's write, highest first. */
  private enum Rank {
    FINAL,
    PLACEMENT_FOR_WAITING_USER,
    PLACEMENT,
    CLAIM,
    DEFERRED
  }

  /** A job with a due write; the rank is kept, as sorting thousands of jobs compares it often. */
  private record DueJob(Job job, Rank rank, MonotonicTime since) implements Comparable<DueJob> {
    private static final Comparator<DueJob> ORDER =
        Comparator.comparing(DueJob::rank).thenComparing(DueJob::since);

    @Override
    public int compareTo(DueJob other) {
      return ORDER.compare(this, other);
    }
  }

  /** Receives the outcomes of writes. */
  interface Listener {
    /** Called when the final record of a job is committed. */
    void onEnded(Job job, JobStatus status);

    /** Called when a transaction has its answer or has timed out, after its jobs are up to date. */
    void onAnswered(List<RecordWrite> writes, boolean isCommitted);
  }

  private final StepContext context;
  private final ShardLease lease;
  private final FeatureGate gate;
  private final ShardJobs jobs;
  private final SchedulingQueue queue;
  private final WriteOutcomeResolver resolver;
  private final Listener listener;
  private final PlacementLog placementLog;
  private int inFlight;
  private MonotonicTime pausedUntil = MonotonicTime.NEVER;

  JobRecordWriter(
      StepContext context,
      ShardLease lease,
      FeatureGate gate,
      ShardJobs jobs,
      SchedulingQueue queue,
      WriteOutcomeResolver resolver,
      Listener listener) {
    this.context = context;
    this.lease = lease;
    this.gate = gate;
    this.jobs = jobs;
    this.queue = queue;
    this.resolver = resolver;
    this.listener = listener;
    this.placementLog = new PlacementLog(context);
  }

  /** Reports whether any transaction is unanswered. */
  boolean isWriteInFlight() {
    return inFlight > 0;
  }

  // ---- due writes -------------------------------------------------------------------------------

  /**
   * Writes the records that are due, as far as rate limits and the limit of transactions in flight
   * allow.
   */
  void writeDue() {
    MonotonicTime now = context.now();
    if (now.isBefore(pausedUntil) || inFlight >= MAX_IN_FLIGHT) {
      return;
    }
    List<Job> due = dueJobs(now).stream().sorted().map(DueJob::job).toList();
    int written = 0;
    while (written < due.size() && inFlight < MAX_IN_FLIGHT) {
      boolean dense = gate.permits(Feature.DENSE_RECORDS);
      Batch batch = new Batch(dense);
      if (dense) {
        gate.guard(batch.transaction);
      }
      while (written < due.size() && batch.hasRoomFor(due.get(written), now)) {
        batch.add(due.get(written), now);
        written++;
      }
      if (batch.writes.isEmpty()) {
        return;
      }
      commit(batch);
    }
  }

  private List<DueJob> dueJobs(MonotonicTime now) {
    List<DueJob> due = new ArrayList<>();
    Set<Job> candidates = jobs.jobsToWrite();
    context.count("round.looks", candidates.size());
    for (Iterator<Job> iterator = candidates.iterator(); iterator.hasNext(); ) {
      Job job = iterator.next();
      WriteUrgency urgency = job.record().urgency();
      if (!jobs.isCurrent(job) || (urgency == WriteUrgency.NONE && !job.isReadyForFinalRecord())) {
        iterator.remove();
      } else if (job.record().isWritable(now)
          && (urgency == WriteUrgency.NOW
              || job.isReadyForFinalRecord()
              || now.since(job.record().urgentSince()) >= context.settings().completionDelayMs())) {
        due.add(new DueJob(job, rank(job), job.record().urgentSince()));
      }
    }
    return due;
  }

  private Rank rank(Job job) {
    if (job.isReadyForFinalRecord()) {
      return Rank.FINAL;
    }
    if (job.record().urgency() != WriteUrgency.NOW) {
      return Rank.DEFERRED;
    }
    if (!job.record().isClaimed() && !job.tasks().hasAttempts()) {
      return Rank.CLAIM;
    }
    return queue.hasStartTarget(job.spec()) ? Rank.PLACEMENT_FOR_WAITING_USER : Rank.PLACEMENT;
  }

  /**
   * Returns the rate limiter of a job's writes. Claims of an earlier owner's records after a
   * failover may use the full write rate of the state service, since no task of a job can be placed
   * before its record is claimed.
   */
  private RateLimiter limiter(Job job) {
    return job.record().isFreeOfEarlierOwner() ? context.writeBudget() : context.userWriteBudget();
  }

  // ---- transactions ----------------------------------------------------------------------------

  /** A transaction under construction. */
  private final class Batch {
    private final StoreMessages.Transaction transaction = new Transaction();
    private final List<RecordWrite> writes = new ArrayList<>();
    private final boolean dense;
    private int bytes;

    Batch(boolean dense) {
      this.dense = dense;
    }

    boolean hasRoomFor(Job job, MonotonicTime now) {
      boolean mustBeSeparate =
          !writes.isEmpty()
              && (job.record().isOwnTransactionRequired()
                  || writes.get(0).job().record().isOwnTransactionRequired());
      int operations = operations(job);
      return !mustBeSeparate
          && transaction.operationCount() + operations <= context.config().state().txnOps()
          && (bytes == 0 || bytes + maxValueBytes() <= StoreMessages.MAX_BATCH_BYTES)
          && limiter(job).has(operations, now);
    }

    /** Adds the write of a job's record, guarded by the record's last known revision. */
    void add(Job job, MonotonicTime now) {
      limiter(job).take(operations(job), now);
      String key = JobRecord.liveKey(job.id());
      transaction.guard(key, job.record().revision());
      job.record().beginWrite();
      bytes +=
          WRITE_OVERHEAD_BYTES
              + (job.isReadyForFinalRecord() ? addFinal(job, key) : addRecord(job, key));
    }

    private int addFinal(Job job, String key) {
      int done = job.tasks().doneCount();
      JobState state =
          job.tasks().isComplete() && !job.isCancelled() ? JobState.DONE : JobState.CANCELLED;
      transaction
          .delete(key)
          .write(JobRecord.finalKey(job.id()), JobRecord.writeFinal(state, done));
      resolver.recordFinalSent(job);
      writes.add(
          new RecordWrite(job, job.record().sequence(), true, new JobStatus(state, done, 0)));
      return FINAL_RECORD_BYTES;
    }

    private Form form(Job job) {
      if (job.record().isCompactFormRequired()) {
        return Form.COMPACT;
      }
      return dense ? Form.DENSE : Form.PLAIN;
    }

    private int addRecord(Job job, String key) {
      Form form = form(job);
      double maxBytes = maxValueBytes();
      JobRecord record = job.toRecord(lease.epoch(), context.writer());
      EncodedRecord encoded = RecordValueCodec.encode(record, form);
      if (encoded.boundBytes() > maxBytes * SHRINK_FRACTION) {
        shrink(job);
        record = job.toRecord(lease.epoch(), context.writer());
        encoded = RecordValueCodec.encode(record, form);
      }
      // A record without attempts always accepts one range: otherwise its job would never run.
      int rangesLeft = (int) ((maxBytes * FILL_FRACTION - encoded.boundBytes()) / RANGE_BYTES);
      job.record().setRangesLeft(Math.max(job.tasks().hasAttempts() ? 0 : 1, rangesLeft));
      encoded.addTo(transaction, key);
      resolver.recordSent(job, record);
      writes.add(new RecordWrite(job, job.record().sequence(), false, record.jobStatus()));
      return encoded.bytes();
    }
  }

  private static int operations(Job job) {
    return job.isReadyForFinalRecord() ? 2 : 1;
  }

  private double maxValueBytes() {
    return context.config().state().valueKb() * BYTES_PER_KB;
  }

  /** Removes the placements that are not committed, for which no command has been given. */
  private void shrink(Job job) {
    for (TaskAttempt attempt : job.tasks().copyOfAttempts()) {
      if (!attempt.isCommitted() && attempt.writeSequence() >= job.record().sequence()) {
        jobs.detach(attempt);
      }
    }
    job.record().setRangesLeft(0);
  }

  // ---- outcomes --------------------------------------------------------------------------------

  private void commit(Batch batch) {
    inFlight++;
    context.count("state.requests.by.record_write");
    context
        .store()
        .commit(
            batch.transaction,
            COMMIT_TIMEOUT_MS,
            result -> {
              inFlight--;
              if (!lease.isEnded()) {
                handleAnswer(batch.writes, result);
              }
            });
  }

  private void handleAnswer(List<RecordWrite> writes, CommitResult result) {
    MonotonicTime now = context.now();
    Set<String> failedKeys =
        result instanceof CommitResult.Conflict conflict ? conflict.failedKeys() : Set.of();
    if (failedKeys.contains(RolloutMessages.KEY)) {
      gate.onGuardFailed();
    }
    for (RecordWrite write : writes) {
      Job job = write.job();
      job.record().endWrite();
      resolver.recordAnswer(write, result);
      if (!jobs.isCurrent(job)) {
        continue;
      }
      if (result instanceof CommitResult.Committed committed) {
        handleCommitted(write, committed.revision());
      } else {
        // Another job's guard failed, the service was overloaded, or the outcome is unknown. The
        // next write under the same guard shows whether this one was applied.
        job.requestWrite(WriteUrgency.NOW, now);
        if (failedKeys.contains(JobRecord.liveKey(job.id()))) {
          resolver.reread(job);
        }
      }
    }
    if (result instanceof CommitResult.TooLarge tooLarge) {
      handleTooLarge(writes, tooLarge.answer(), now);
    } else if (!result.isCommitted() && !(result instanceof CommitResult.Conflict)) {
      context.count("txn.unanswered");
      pausedUntil = now.plus(UNKNOWN_PAUSE_MS + context.random().nextInt(UNKNOWN_PAUSE_SPREAD_MS));
    }
    listener.onAnswered(writes, result.isCommitted());
  }

  private void handleCommitted(RecordWrite write, Revision revision) {
    Job job = write.job();
    job.recordCommitted(write.sequence(), revision, lease.epoch(), write.status());
    if (write.isFinal()) {
      listener.onEnded(job, write.status());
    } else {
      jobs.recordCommitted(job);
      placementLog.logCommitted(job, write.sequence(), revision, lease.epoch());
      resolver.rereadIfOutdated(job);
    }
  }

  /**
   * Handles the refusal of a transaction because a value in it is too large. Each record is first
   * written alone, to find the one that is too large. That record is written in the compact form
   * from then on. If this form is too large as well, the write is retried after pauses, until the
   * record has shrunk as its tasks end.
   */
  private void handleTooLarge(List<RecordWrite> writes, String answer, MonotonicTime now) {
    context.info(
        "store.transaction.too_large shard=%s writes=%d answer=\"%s\"",
        lease.shard(), writes.size(), answer.replace('"', '\''));
    context.count("txn.too_large");
    for (RecordWrite write : writes) {
      JobRecordState record = write.job().record();
      record.requireOwnTransaction();
      if (writes.size() == 1) {
        if (record.isCompactFormRequired()) {
          record.pauseUntil(now.plus(TOO_LARGE_PAUSE_MS));
        }
        record.requireCompactForm();
        shrink(write.job());
      }
    }
  }
}
