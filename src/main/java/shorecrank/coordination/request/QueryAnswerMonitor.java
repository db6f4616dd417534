package shorecrank.coordination.request;

import static shorecrank.protocol.HttpStatus.NOT_FOUND;
import static shorecrank.protocol.HttpStatus.OK;

import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MonotonicTime;

/**
 * Records for each query about a job whether, from which source and after how long it was answered,
 * and for how long this controller has answered no query about a job.
 *
 * <p>It checks an invariant at run time: while the state service answers, no job stays without an
 * answer for {@link #OVERDUE_MS}. Violations are counted in {@code query.overdue} and logged.
 */
public final class QueryAnswerMonitor {
  /**
   * How long a job's queries may stay unanswered while the state service answers. Users count a job
   * as forgotten after 75 s.
   */
  private static final int OVERDUE_MS = 30_000;

  /** A job that nobody asks about for this long is no longer recorded as unanswered. */
  private static final int FORGET_AFTER_MS = 60_000;

  private static final int MAX_UNANSWERED_JOBS = 10_000;
  private static final int REVIEW_INTERVAL_MS = 1000;

  /** A query that has not been answered yet. */
  private static final class Query {
    final JobId job;
    final MonotonicTime receivedAt;
    QuerySource source = QuerySource.NONE;
    String reason = "none";

    Query(JobId job, MonotonicTime receivedAt) {
      this.job = job;
      this.receivedAt = receivedAt;
    }
  }

  /** A job whose latest query was not answered. */
  private static final class UnansweredJob {
    final MonotonicTime since;
    MonotonicTime lastAskedAt;

    UnansweredJob(MonotonicTime since) {
      this.since = since;
      this.lastAskedAt = since;
    }
  }

  private final StepContext context;
  private final Long2ObjectOpenHashMap<Query> queries = new Long2ObjectOpenHashMap<>();
  private final Map<JobId, UnansweredJob> unanswered = new LinkedHashMap<>();
  private MonotonicTime reviewedAt = MonotonicTime.NEVER;

  /** Creates a monitor that observes all replies of the controller. */
  public QueryAnswerMonitor(StepContext context) {
    this.context = context;
    context.observeReplies(this::onReply);
  }

  /** Records that a query about a job was received. */
  void begin(UserRequest request, JobId job) {
    queries.put(request.reply(), new Query(job, context.now()));
  }

  /** Records where the status is looked for from now on. */
  void recordSource(UserRequest request, QuerySource source) {
    Query query = queries.get(request.reply());
    if (query != null) {
      query.source = source;
    }
  }

  /** Records why the user is told to repeat the request. */
  void recordReason(UserRequest request, RetryReason reason) {
    Query query = queries.get(request.reply());
    if (query != null) {
      query.reason = reason.label();
    }
  }

  private void onReply(long reply, int status) {
    Query query = queries.remove(reply);
    if (query == null) {
      return;
    }
    long ageMs = context.now().since(query.receivedAt);
    String source = query.source.label();
    context.duration("query.age", ageMs);
    if (status == OK || status == NOT_FOUND) {
      context.count("query.answered." + source);
      unanswered.remove(query.job);
      return;
    }
    context.count("query.unanswered." + source + "." + query.reason);
    UnansweredJob job = recordUnanswered(query);
    long unansweredMs = context.now().since(job.since);
    context.infoLimited(
        "query.unanswered",
        "job=%s source=%s reason=%s age_ms=%d unanswered_ms=%d",
        query.job,
        source,
        query.reason,
        ageMs,
        unansweredMs);
    if (unansweredMs > OVERDUE_MS && isStoreReachableFor(OVERDUE_MS)) {
      context.reportError(
          "query.overdue",
          "query.overdue job=%s source=%s reason=%s unanswered_ms=%d"
              .formatted(query.job, source, query.reason, unansweredMs));
    }
  }

  private UnansweredJob recordUnanswered(Query query) {
    if (unanswered.size() >= MAX_UNANSWERED_JOBS && !unanswered.containsKey(query.job)) {
      unanswered.remove(unanswered.keySet().iterator().next());
    }
    UnansweredJob job =
        unanswered.computeIfAbsent(query.job, id -> new UnansweredJob(query.receivedAt));
    job.lastAskedAt = query.receivedAt;
    return job;
  }

  private boolean isStoreReachableFor(int ms) {
    return context.isStoreReachable() && context.now().since(context.storeReachableSince()) > ms;
  }

  /** Updates the gauges, and drops the jobs that nobody asks about any more. */
  public void tick() {
    MonotonicTime now = context.now();
    if (now.since(reviewedAt) < REVIEW_INTERVAL_MS) {
      return;
    }
    reviewedAt = now;
    unanswered.values().removeIf(job -> now.since(job.lastAskedAt) > FORGET_AFTER_MS);
    long oldestMs =
        unanswered.values().stream().mapToLong(job -> now.since(job.since)).max().orElse(0);
    context.gauge("query.unanswered.jobs", unanswered.size());
    context.gauge("query.unanswered.oldest_ms", oldestMs);
    context.gauge("query.pending", queries.size());
    context.gauge("state.requests.available", context.requestBudget().available(now));
  }
}
