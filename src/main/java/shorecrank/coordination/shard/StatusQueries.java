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
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.scheduling.DependencyGraph;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.StoreMessages.Transaction;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.protocol.UserMessages.JobStatus;
import shorecrank.storage.CommitResult;
import shorecrank.storage.JobRecord;

/**
 * Answers where a shard's jobs stand. One transaction that only compares finds all records in
 * question unchanged, so no answer is older than one given elsewhere, and a burst of questions
 * costs the state service few requests.
 */
public final class StatusQueries {
  private static final int COMPARE_TIMEOUT_MS = 1000;

  /** How often a query is compared at the most. */
  private static final int MAX_COMPARISONS = 2;

  /** Guards in a transaction that only compares, for each write that one may hold. */
  private static final int GUARDS_PER_OPERATION = 4;

  /** A query compares at most this part of the guards of a transaction, as a divisor. */
  private static final int QUERY_GUARD_DIVISOR = 4;

  /** How many ended jobs are remembered. */
  private static final int MAX_ENDED_JOBS = 2000;

  /** Takes what the store holds of a job now. */
  public interface StatusCallback {
    /**
     * A query has its answer.
     *
     * @param jobStatus empty if this owner can't tell
     */
    void onStatus(Optional<JobStatus> jobStatus);
  }

  /** The queries that one transaction answers. */
  private static final class Comparison {
    final Map<JobId, List<StatusCallback>> queries;
    final Transaction transaction = new Transaction();

    /** What is told of each job if all its records are unchanged; jobs that can't be told lack. */
    final Map<JobId, JobStatus> statuses = new HashMap<>();

    /** The keys that have to be unchanged, by job. */
    final Map<JobId, Set<String>> keysByJob = new HashMap<>();

    final Set<String> guardedKeys = new HashSet<>();

    Comparison(Map<JobId, List<StatusCallback>> queries) {
      this.queries = queries;
    }

    /** Guards the records of a job and of all that it needs. */
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

  /** Jobs that ended here: what never changes again needs no comparison. */
  private final Cache<JobId, JobStatus> ended =
      Caffeine.newBuilder().maximumSize(MAX_ENDED_JOBS).executor(Runnable::run).build();

  private final Map<JobId, List<StatusCallback>> pending = new LinkedHashMap<>();
  private boolean comparing;

  StatusQueries(StepContext context, ShardJobs jobs, DependencyGraph dependencies) {
    this.context = context;
    this.jobs = jobs;
    this.dependencies = dependencies;
  }

  /** A job's final record is committed. */
  void recordEnded(JobId id, JobStatus status) {
    ended.put(id, status);
  }

  /**
   * Takes a query, to be answered now or by the next comparison.
   *
   * @param isOwner whether this process owns the shard and knows its records
   */
  void query(JobId id, boolean isOwner, StatusCallback callback) {
    Optional<JobStatus> endStatus = findEnded(id);
    if (endStatus.isPresent() || !isOwner || jobs.find(id) == null) {
      callback.onStatus(endStatus);
    } else {
      pending.computeIfAbsent(id, absent -> new ArrayList<>(1)).add(callback);
    }
  }

  private Optional<JobStatus> findEnded(JobId id) {
    return Optional.ofNullable(ended.getIfPresent(id));
  }

  /** The ownership is over: others have to be asked. */
  void close() {
    pending.values().forEach(callbacks -> complete(callbacks, Optional.empty()));
    pending.clear();
  }

  private static void complete(List<StatusCallback> callbacks, Optional<JobStatus> status) {
    callbacks.forEach(callback -> callback.onStatus(status));
  }

  /** Answers what waits, unless a comparison is under way; once a round. */
  void answerPending() {
    if (pending.isEmpty() || comparing) {
      return;
    }
    Map<JobId, List<StatusCallback>> batch = new LinkedHashMap<>();
    int limit = maxGuards();
    for (Iterator<Map.Entry<JobId, List<StatusCallback>>> iterator = pending.entrySet().iterator();
        iterator.hasNext() && batch.size() < limit; ) {
      Map.Entry<JobId, List<StatusCallback>> query = iterator.next();
      batch.put(query.getKey(), query.getValue());
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
    context
        .store()
        .commit(
            comparison.transaction,
            COMPARE_TIMEOUT_MS,
            result -> {
              comparing = false;
              handleResult(comparison, result, comparisonsLeft);
            });
  }

  /** Adds a query to a comparison, or answers it if it can't be compared. */
  private void addToComparison(Comparison comparison, JobId id) {
    Job job = jobs.find(id);
    if (job == null || job.record().status() == null) {
      complete(comparison.queries.remove(id), findEnded(id));
      return;
    }
    // A job that waits is cancelled with any that it needs: those must be as they were, too.
    int limit = maxGuards();
    Optional<Collection<Job>> needed =
        dependencies.transitiveDependencies(job, limit / QUERY_GUARD_DIVISOR);
    if (needed.isEmpty() || comparison.guardedKeys.size() + needed.get().size() + 1 > limit) {
      complete(comparison.queries.remove(id), Optional.empty());
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
            // Whether a refusal names all that differ is not said: what it does not name is
            // compared once more.
            toRetry.put(id, callbacks);
          } else {
            context.count("status.changed");
            complete(callbacks, findEnded(id));
          }
        });
    if (!toRetry.isEmpty()) {
      compare(toRetry, comparisonsLeft - 1);
    }
  }
}
