package shorecrank.coordination.shard;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.scheduling.DependencyGraph;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.StoreMessages.Transaction;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.protocol.UserMessages.JobStatus;
import shorecrank.storage.CommitResult;
import shorecrank.storage.JobRecord;

/**
 * Answers queries for the status of the shard's jobs. Before the answer, a transaction that holds
 * only guards confirms that the records concerned are unchanged, so that no answer is older than
 * one that another controller has given. One transaction serves many queries, so a burst of queries
 * costs few requests to the state service.
 */
public final class StatusQueries {
  private static final int COMPARE_TIMEOUT_MS = 1000;

  /**
   * Maximum number of comparisons that a query takes part in. If the last one fails, the query is
   * answered with the job's final status in memory, or with an empty status if there is none.
   */
  private static final int MAX_COMPARISONS = 2;

  /**
   * Number of guards that a transaction without writes may hold for each operation that a
   * transaction with writes may hold.
   */
  private static final int GUARDS_PER_OPERATION = 4;

  /** A query may use at most the number of guards of one transaction divided by this. */
  private static final int QUERY_GUARD_DIVISOR = 4;

  /** Reasons why an owner can't tell a job's status, as metrics name them. */
  private static final String REASON_NOT_READY = "not_ready";

  private static final String REASON_UNKNOWN_JOB = "unknown_job";
  private static final String REASON_MANY_DEPENDENCIES = "many_dependencies";
  private static final String REASON_CHANGED = "changed";

  /** Maximum number of ended jobs whose final status is kept in memory. */
  private static final int MAX_ENDED_JOBS = 2000;

  /** Receives the status of a job. */
  public interface StatusCallback {
    /**
     * Called once with the answer to a query.
     *
     * @param jobStatus the status; empty if this owner can't tell it
     */
    void onStatus(Optional<JobStatus> jobStatus);
  }

  /** The queries about one job that wait for a comparison. */
  private record PendingQuery(MonotonicTime addedAt, List<StatusCallback> callbacks) {}

  /** The queries that one transaction answers. */
  private static final class Comparison {
    final Map<JobId, List<StatusCallback>> queries;
    final Transaction transaction = new Transaction();

    /**
     * Status of each job, valid if all its guarded records are unchanged; jobs without an entry are
     * answered with an empty status.
     */
    final Map<JobId, JobStatus> statuses = new HashMap<>();

    /** Keys of the records that must be unchanged, by job. */
    final Map<JobId, Set<String>> keysByJob = new HashMap<>();

    final Set<String> guardedKeys = new HashSet<>();

    Comparison(Map<JobId, List<StatusCallback>> queries) {
      this.queries = queries;
    }

    /** Adds guards for the records of a job and of all jobs that it depends on. */
    void guard(Job job, Collection<Job> needed) {
      Set<String> keys = new HashSet<>();
      for (Job each : needed) {
        guard(each, keys);
      }
      guard(job, keys);
      keysByJob.put(job.id(), keys);
      JobStatus status = job.record().status();
      boolean isCancelledSince = job.isCancelled() && status.state() != JobState.CANCELLED;
      if (!isCancelledSince) {
        statuses.put(job.id(), status);
      }
    }

    private void guard(Job job, Set<String> keys) {
      String key = JobRecord.liveKey(job.id());
      keys.add(key);
      if (guardedKeys.add(key)) {
        transaction.guard(key, job.record().revision());
      }
    }
  }

  private final StepContext context;
  private final ShardJobs jobs;
  private final DependencyGraph dependencies;

  /** Final status of jobs that ended here, which never changes again and needs no comparison. */
  private final Cache<JobId, JobStatus> ended =
      Caffeine.newBuilder().maximumSize(MAX_ENDED_JOBS).executor(Runnable::run).build();

  /** The queries that wait for the next comparison, oldest first. */
  private final Map<JobId, PendingQuery> pending = new LinkedHashMap<>();

  private boolean comparing;

  StatusQueries(StepContext context, ShardJobs jobs, DependencyGraph dependencies) {
    this.context = context;
    this.jobs = jobs;
    this.dependencies = dependencies;
  }

  /** Records the status of a job whose final record is committed. */
  void recordEnded(JobId id, JobStatus status) {
    ended.put(id, status);
  }

  /**
   * Answers a query now, or adds it to the next comparison.
   *
   * @param isOwner whether this process owns the shard and knows its records
   */
  void query(JobId id, boolean isOwner, StatusCallback callback) {
    Optional<JobStatus> endStatus = findEnded(id);
    if (endStatus.isPresent()) {
      callback.onStatus(endStatus);
    } else if (!isOwner) {
      refuse(List.of(callback), REASON_NOT_READY);
    } else if (jobs.find(id) == null) {
      refuse(List.of(callback), REASON_UNKNOWN_JOB);
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

  /** Answers all pending queries with an empty status, since the ownership has ended. */
  void close() {
    pending.values().forEach(query -> refuse(query.callbacks(), REASON_NOT_READY));
    pending.clear();
  }

  /** Answers queries with an empty status and counts them by the reason. */
  private void refuse(List<StatusCallback> callbacks, String reason) {
    context.count("status.refused." + reason, callbacks.size());
    complete(callbacks, Optional.empty());
  }

  private void completeEnded(JobId id, List<StatusCallback> callbacks) {
    Optional<JobStatus> endStatus = findEnded(id);
    if (endStatus.isEmpty()) {
      refuse(callbacks, REASON_CHANGED);
    } else {
      complete(callbacks, endStatus);
    }
  }

  private static void complete(List<StatusCallback> callbacks, Optional<JobStatus> status) {
    callbacks.forEach(callback -> callback.onStatus(status));
  }

  /** Updates the gauges of the pending queries' number and age. */
  void updateGauges() {
    context.gauge("status.pending", pending.size());
    long ageMs =
        pending.isEmpty() ? 0 : context.now().since(pending.values().iterator().next().addedAt());
    context.gauge("status.pending.age_ms", ageMs);
  }

  /**
   * Compares the records of the pending queries, unless a comparison is in progress; called once a
   * round.
   */
  void answerPending() {
    if (pending.isEmpty() || comparing) {
      return;
    }
    Map<JobId, List<StatusCallback>> batch = new LinkedHashMap<>();
    int limit = maxGuards();
    for (Iterator<Map.Entry<JobId, PendingQuery>> iterator = pending.entrySet().iterator();
        iterator.hasNext() && batch.size() < limit; ) {
      Map.Entry<JobId, PendingQuery> query = iterator.next();
      batch.put(query.getKey(), query.getValue().callbacks());
      iterator.remove();
    }
    compare(batch, MAX_COMPARISONS);
  }

  private int maxGuards() {
    return context.config().state().txnOps() * GUARDS_PER_OPERATION;
  }

  private void compare(Map<JobId, List<StatusCallback>> queries, int comparisonsLeft) {
    Comparison comparison = new Comparison(queries);
    for (JobId id : new ArrayList<>(queries.keySet())) {
      addToComparison(comparison, id);
    }
    if (queries.isEmpty()) {
      return;
    }
    comparing = true;
    context.count("state.requests.by.status_comparison");
    MonotonicTime sent = context.now();
    context
        .store()
        .commit(
            comparison.transaction,
            COMPARE_TIMEOUT_MS,
            result -> {
              comparing = false;
              recordComparison(comparison, result, sent);
              handleResult(comparison, result, comparisonsLeft);
            });
  }

  private void recordComparison(Comparison comparison, CommitResult result, MonotonicTime sent) {
    String outcome = result.getClass().getSimpleName().toLowerCase(Locale.ROOT);
    long roundTripMs = context.now().since(sent);
    context.count("status.compared." + outcome);
    context.count("status.compared.jobs", comparison.queries.size());
    context.duration("status.compared.round_trip", roundTripMs);
    if (!result.isCommitted()) {
      context.infoLimited(
          "status.comparison.failed",
          "outcome=%s jobs=%d guards=%d round_trip_ms=%d pending=%d",
          outcome,
          comparison.queries.size(),
          comparison.guardedKeys.size(),
          roundTripMs,
          pending.size());
    }
  }

  /** Adds a query to a comparison, or answers it if it can't be compared. */
  private void addToComparison(Comparison comparison, JobId id) {
    Job job = jobs.find(id);
    if (job == null || job.record().status() == null) {
      completeEnded(id, comparison.queries.remove(id));
      return;
    }
    // A job is cancelled with any job that it depends on, so the records of those are guarded
    // too.
    int limit = maxGuards();
    Optional<Collection<Job>> needed =
        dependencies.transitiveDependencies(job, limit / QUERY_GUARD_DIVISOR);
    if (needed.isEmpty() || comparison.guardedKeys.size() + needed.get().size() + 1 > limit) {
      refuse(comparison.queries.remove(id), REASON_MANY_DEPENDENCIES);
    } else {
      comparison.guard(job, needed.get());
    }
  }

  private void handleResult(Comparison comparison, CommitResult result, int comparisonsLeft) {
    Set<String> failedKeys =
        result instanceof CommitResult.Conflict conflict ? conflict.failedKeys() : Set.of();
    Map<JobId, List<StatusCallback>> toRetry = new LinkedHashMap<>();
    comparison.queries.forEach(
        (id, callbacks) -> {
          if (result.isCommitted()) {
            context.count("status.unchanged");
            complete(callbacks, Optional.ofNullable(comparison.statuses.get(id)));
          } else if (comparisonsLeft > 1
              && !failedKeys.isEmpty()
              && Collections.disjoint(failedKeys, comparison.keysByJob.get(id))) {
            // A conflict need not name every guard that failed, so queries whose records it does
            // not name are compared again.
            toRetry.put(id, callbacks);
          } else {
            context.count("status.changed");
            completeEnded(id, callbacks);
          }
        });
    if (!toRetry.isEmpty()) {
      compare(toRetry, comparisonsLeft - 1);
    }
  }
}
