package shorecrank.coordination.shard;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.scheduling.DependencyCheck;
import shorecrank.coordination.scheduling.DependencyGraph;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.protocol.UserMessages.JobStatus;

/**
 * Answers queries for the status of the shard's jobs from memory, after a read index: once the
 * queries of a round have arrived, one request reads the changes of all records since the last
 * known revision. After they are applied, memory is at least as new as any answer that another
 * controller had given before the queries arrived. The cost does not depend on the number of jobs.
 */
public final class StatusQueries {
  private static final int READ_TIMEOUT_MS = 1200;

  /**
   * After a read without an answer, queries that are older are refused, so that the asking
   * controller can read the state service while the user waits.
   */
  private static final int MAX_WAIT_MS = 1000;

  /** The owners of all shards together use at most this fraction of the requests for reads. */
  private static final double READ_REQUEST_FRACTION = 0.25;

  private static final double MS_PER_S = 1000;

  /** Lower bound on the number of ended jobs whose final status is kept in memory. */
  private static final int MIN_ENDED_JOBS = 10_000;

  /** Users ask every 5 s and wait 2 s, so within this time all of them have asked several times. */
  private static final int ENDED_JOBS_KEPT_S = 60;

  /** Reasons why an owner can't tell a job's status, as metrics name them. */
  private enum Refusal {
    /** The shard's records are not known, or this process does not own the shard any more. */
    NOT_READY,

    /** The job is none of the shard's unfinished jobs. */
    UNKNOWN_JOB,

    /** The state service has not answered the read. */
    NO_ANSWER,

    /** The job's record was deleted, or can't be read. */
    RECORD_GONE,

    /** A job that this one depends on is none of the shard's unfinished jobs. */
    OTHER_SHARDS;

    private final String metric = "status.refused." + name().toLowerCase(Locale.ROOT);
  }

  /** Receives the status of a job. */
  public interface StatusCallback {
    /**
     * Called once with the answer to a query.
     *
     * @param jobStatus the status; empty if this owner can't tell it
     */
    void onStatus(Optional<JobStatus> jobStatus);
  }

  /** The queries about one job that wait for the same read. */
  private record PendingQuery(MonotonicTime addedAt, List<StatusCallback> callbacks) {
    void complete(Optional<JobStatus> status) {
      callbacks.forEach(callback -> callback.onStatus(status));
    }
  }

  private final StepContext context;
  private final ShardLease lease;
  private final ShardJobs jobs;
  private final DependencyGraph dependencies;
  private final RecordChangeFeed changes;
  private final long readIntervalMs;

  /** Final status of jobs that ended here, which never changes again and needs no read. */
  private final Cache<JobId, JobStatus> ended;

  /** The queries that wait for the next read, oldest first. */
  private final Map<JobId, PendingQuery> pending = new LinkedHashMap<>();

  private boolean isReading;
  private MonotonicTime nextReadAt = MonotonicTime.NEVER;

  StatusQueries(
      StepContext context,
      ShardLease lease,
      ShardJobs jobs,
      DependencyGraph dependencies,
      RecordChangeFeed changes) {
    this.context = context;
    this.lease = lease;
    this.jobs = jobs;
    this.dependencies = dependencies;
    this.changes = changes;
    double readsPerS = READ_REQUEST_FRACTION * context.config().state().rps();
    this.readIntervalMs =
        Math.max(
            context.settings().roundMs(),
            (long) (MS_PER_S * context.settings().shards() / readsPerS));
    // Each end of a job is a write, so the write rate of the state service bounds them.
    double endsPerS = context.config().state().writeRps();
    this.ended =
        Caffeine.newBuilder()
            .maximumSize((long) Math.max(MIN_ENDED_JOBS, endsPerS * ENDED_JOBS_KEPT_S))
            .executor(Runnable::run)
            .build();
  }

  /** Records the status of a job whose final record is committed. */
  void recordEnded(JobId id, JobStatus status) {
    ended.put(id, status);
  }

  /** Answers a query now, or after the read that {@link #answerPending} starts next. */
  void query(JobId id, StatusCallback callback) {
    Optional<JobStatus> endStatus = findEnded(id);
    if (endStatus.isPresent()) {
      callback.onStatus(endStatus);
    } else if (!mayRead()) {
      refuse(List.of(callback), Refusal.NOT_READY);
    } else if (jobs.find(id) == null) {
      refuse(List.of(callback), Refusal.UNKNOWN_JOB);
    } else {
      pending
          .computeIfAbsent(id, absent -> new PendingQuery(context.now(), new ArrayList<>(1)))
          .callbacks()
          .add(callback);
    }
  }

  private Optional<JobStatus> findEnded(JobId id) {
    return Optional.ofNullable(ended.getIfPresent(id));
  }

  private boolean mayRead() {
    return changes.isFollowing() && lease.isValid();
  }

  /** Answers all pending queries with an empty status, since the ownership has ended. */
  void close() {
    refuseAll(Refusal.NOT_READY);
  }

  private void refuseAll(Refusal reason) {
    pending.values().forEach(query -> refuse(query.callbacks(), reason));
    pending.clear();
  }

  /** Answers queries with an empty status and counts them by the reason. */
  private void refuse(List<StatusCallback> callbacks, Refusal reason) {
    context.count(reason.metric, callbacks.size());
    callbacks.forEach(callback -> callback.onStatus(Optional.empty()));
  }

  /** Updates the gauges of the pending queries' number and age. */
  void updateGauges() {
    context.gauge("status.pending", pending.size());
    long ageMs =
        pending.isEmpty() ? 0 : context.now().since(pending.values().iterator().next().addedAt());
    context.gauge("status.pending.age_ms", ageMs);
  }

  /**
   * Reads the changes of the records and then answers all pending queries, unless a read is in
   * progress or the last one began too recently; called when queries have arrived, and once a round
   * for those that have to wait.
   */
  void answerPending() {
    if (pending.isEmpty() || isReading) {
      return;
    }
    if (!mayRead()) {
      refuseAll(Refusal.NOT_READY);
      return;
    }
    if (context.now().isBefore(nextReadAt)) {
      return;
    }
    Map<JobId, PendingQuery> batch = new LinkedHashMap<>(pending);
    pending.clear();
    isReading = true;
    MonotonicTime sent = context.now();
    nextReadAt = sent.plus(readIntervalMs);
    changes.read(
        READ_TIMEOUT_MS,
        isComplete -> {
          isReading = false;
          if (isComplete) {
            DependencyCheck check = dependencies.newCheck();
            batch.forEach((id, query) -> answer(id, query, sent, check));
          } else {
            handleNoAnswer(batch);
          }
          answerPending();
        });
  }

  /**
   * Answers a query from memory.
   *
   * @param readSentAt when the read was sent whose changes were applied last
   * @param check the check of the dependencies of all jobs that this read answers for
   */
  private void answer(
      JobId id, PendingQuery query, MonotonicTime readSentAt, DependencyCheck check) {
    if (readSentAt.isBefore(query.addedAt())) {
      context.reportError("status.read.too_old", "status.read.too_old job=" + id);
      refuse(query.callbacks(), Refusal.NO_ANSWER);
      return;
    }
    Optional<JobStatus> endStatus = findEnded(id);
    Job job = jobs.find(id);
    if (endStatus.isPresent()) {
      query.complete(endStatus);
    } else if (job == null) {
      refuse(query.callbacks(), Refusal.UNKNOWN_JOB);
    } else {
      answerUnfinished(job, query, check);
    }
  }

  private void answerUnfinished(Job job, PendingQuery query, DependencyCheck check) {
    Optional<JobStatus> status = job.record().latestStatus();
    if (status.isEmpty()) {
      refuse(query.callbacks(), Refusal.RECORD_GONE);
    } else if (job.isCancelled()) {
      query.complete(Optional.of(new JobStatus(JobState.CANCELLED, status.get().done(), 0)));
    } else if (check.areDependenciesUncancelled(job)) {
      context.count("status.answered");
      query.complete(status);
    } else {
      refuse(query.callbacks(), Refusal.OTHER_SHARDS);
    }
  }

  /** Keeps the queries whose askers still wait for the next read, and refuses the others. */
  private void handleNoAnswer(Map<JobId, PendingQuery> batch) {
    Map<JobId, PendingQuery> added = new LinkedHashMap<>(pending);
    pending.clear();
    batch.forEach(
        (id, query) -> {
          if (mayRead() && context.now().since(query.addedAt()) <= MAX_WAIT_MS) {
            pending.put(id, query);
          } else {
            refuse(query.callbacks(), Refusal.NO_ANSWER);
          }
        });
    added.forEach((id, query) -> pending.merge(id, query, StatusQueries::join));
    context.infoLimited(
        "status.read.failed",
        "shard=%s jobs=%d kept=%d revision=%d",
        lease.shard(),
        batch.size(),
        pending.size(),
        changes.revision());
  }

  private static PendingQuery join(PendingQuery older, PendingQuery newer) {
    older.callbacks().addAll(newer.callbacks());
    return older;
  }
}
