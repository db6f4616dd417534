package shorecrank.coordination;

import static shorecrank.protocol.HttpStatus.OK;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import shorecrank.coordination.request.OwnerQueries;
import shorecrank.coordination.request.OwnerQueries.OwnerAnswer;
import shorecrank.coordination.request.QuerySource;
import shorecrank.coordination.shard.ShardOwner;
import shorecrank.coordination.shard.StatusQueries.StatusCallback;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.PeerRequests.StatusQuery;
import shorecrank.protocol.StatusQueryCodec;
import shorecrank.protocol.UserMessages.JobStatus;

/**
 * Queries shard owners, in this process or at other controllers, for the status of jobs, and
 * answers such queries from other controllers. The queries between two ticks about the jobs of one
 * shard are sent to its owner in one message; while several messages are unanswered, the queries of
 * further ticks go together, so that an owner that is behind gets fewer messages.
 */
final class StatusQueryForwarder implements OwnerQueries {
  /** Time after which the state service is asked instead. Users wait for 2 s. */
  private static final int QUERY_TIMEOUT_MS = 1500;

  /** A query that could not be sent to the owner for this long goes to the state service. */
  private static final int MAX_PENDING_MS = 400;

  /**
   * While so many messages to the owner of a shard are unanswered, no further one is sent. They are
   * spread over the time that the owner takes for an answer.
   */
  private static final int MAX_MESSAGES_IN_FLIGHT = 4;

  /** The queries about one job that wait to be sent. */
  private record PendingQuery(MonotonicTime askedAt, List<StatusCallback> callbacks) {
    void complete(Optional<JobStatus> status) {
      callbacks.forEach(callback -> callback.onStatus(status));
    }
  }

  /** The queries about the jobs of one shard that other controllers own. */
  private static final class ShardMessages {
    /** The oldest first. */
    final Map<JobId, PendingQuery> pending = new LinkedHashMap<>();

    int inFlight;
    MonotonicTime nextSendAt = MonotonicTime.NEVER;

    /** How long the owner took for its latest answer, in milliseconds. */
    long roundTripMs;

    boolean maySend(MonotonicTime now) {
      return !pending.isEmpty()
          && inFlight < MAX_MESSAGES_IN_FLIGHT
          && (inFlight == 0 || !now.isBefore(nextSendAt));
    }
  }

  private final StepContext context;
  private final OwnerTable owners;
  private final OwnedShards shards;
  private final Map<ShardId, ShardMessages> messages = new TreeMap<>();

  StatusQueryForwarder(StepContext context, OwnerTable owners, OwnedShards shards) {
    this.context = context;
    this.owners = owners;
    this.shards = shards;
  }

  @Override
  public QuerySource locate(Optional<ShardId> shard) {
    QuerySource source = QuerySource.NONE;
    for (ShardId candidate : candidates(shard)) {
      if (shards.find(candidate) != null) {
        return QuerySource.OWNER_LOCAL;
      }
      if (owners.findOther(candidate).isPresent()) {
        source = QuerySource.OWNER_REMOTE;
      }
    }
    return source;
  }

  @Override
  public void query(Optional<ShardId> shard, JobId job, Consumer<Optional<OwnerAnswer>> callback) {
    List<ShardId> candidates = candidates(shard);
    FirstAnswer answer = new FirstAnswer(candidates.size(), callback);
    for (ShardId candidate : candidates) {
      queryOwner(candidate, job, status -> answer.add(candidate, status));
    }
  }

  private List<ShardId> candidates(Optional<ShardId> shard) {
    return shard
        .map(List::of)
        .orElseGet(
            () -> IntStream.range(0, context.settings().shards()).mapToObj(ShardId::new).toList());
  }

  private void queryOwner(ShardId shard, JobId job, StatusCallback callback) {
    ShardOwner shardOwner = shards.find(shard);
    if (shardOwner != null) {
      shardOwner.queryStatus(job, callback);
      shardOwner.answerQueries();
    } else if (owners.findOther(shard).isEmpty()) {
      callback.onStatus(Optional.empty());
    } else {
      messages
          .computeIfAbsent(shard, key -> new ShardMessages())
          .pending
          .computeIfAbsent(job, key -> new PendingQuery(context.now(), new ArrayList<>(1)))
          .callbacks()
          .add(callback);
    }
  }

  /**
   * Sends the queries to other controllers that have been collected since the last tick, in
   * messages of at most {@link StatusQueryCodec#MAX_JOBS} jobs. Queries that could not be sent in
   * time receive no status.
   */
  void sendPending() {
    messages.forEach(
        (shard, queue) -> {
          dropExpired(queue);
          Optional<ControllerName> owner = owners.findOther(shard);
          if (owner.isEmpty()) {
            queue.pending.values().forEach(query -> query.complete(Optional.empty()));
            queue.pending.clear();
          }
          if (queue.maySend(context.now())) {
            send(shard, owner.orElseThrow(), queue);
          }
        });
  }

  private void dropExpired(ShardMessages queue) {
    Iterator<PendingQuery> oldest = queue.pending.values().iterator();
    while (oldest.hasNext()) {
      PendingQuery query = oldest.next();
      if (context.now().since(query.askedAt()) <= MAX_PENDING_MS) {
        return;
      }
      oldest.remove();
      context.count("status.not_sent");
      query.complete(Optional.empty());
    }
  }

  private void send(ShardId shard, ControllerName owner, ShardMessages queue) {
    Map<JobId, PendingQuery> sent = new LinkedHashMap<>();
    Iterator<Map.Entry<JobId, PendingQuery>> oldest = queue.pending.entrySet().iterator();
    MonotonicTime sentAt = context.now();
    while (oldest.hasNext() && sent.size() < StatusQueryCodec.MAX_JOBS) {
      Map.Entry<JobId, PendingQuery> query = oldest.next();
      sent.put(query.getKey(), query.getValue());
      oldest.remove();
    }
    queue.inFlight++;
    queue.nextSendAt = sentAt.plus(queue.roundTripMs / MAX_MESSAGES_IN_FLIGHT);
    context
        .peers()
        .queryStatus(
            owner,
            shard,
            sent.keySet(),
            QUERY_TIMEOUT_MS,
            statuses -> {
              queue.inFlight--;
              queue.roundTripMs = context.now().since(sentAt);
              sent.forEach((job, query) -> query.complete(Optional.ofNullable(statuses.get(job))));
            });
  }

  /** Answers another controller's query once the shard owner has answered for each of its jobs. */
  void answerPeer(long reply, StatusQuery query) {
    ShardOwner shardOwner = shards.find(query.shard());
    Map<JobId, JobStatus> statuses = new HashMap<>();
    if (shardOwner == null || query.jobs().isEmpty()) {
      context.reply(reply, OK, StatusQueryCodec.writeAnswer(statuses));
      return;
    }
    PeerAnswer answer = new PeerAnswer(reply, query.jobs().size(), statuses);
    for (JobId job : query.jobs()) {
      shardOwner.queryStatus(job, status -> answer.add(job, status));
    }
    shardOwner.answerQueries();
  }

  /** Passes on the first answer of an owner that knows the job, or that none does. */
  private static final class FirstAnswer {
    private final Consumer<Optional<OwnerAnswer>> callback;
    private int pendingOwners;
    private boolean isAnswered;

    FirstAnswer(int pendingOwners, Consumer<Optional<OwnerAnswer>> callback) {
      this.pendingOwners = pendingOwners;
      this.callback = callback;
    }

    void add(ShardId shard, Optional<JobStatus> status) {
      pendingOwners--;
      if (!isAnswered && (status.isPresent() || pendingOwners == 0)) {
        isAnswered = true;
        callback.accept(status.map(found -> new OwnerAnswer(shard, found)));
      }
    }
  }

  /** Collects the answer to another controller's query and sends it once no job is pending. */
  private final class PeerAnswer {
    private final long reply;
    private final Map<JobId, JobStatus> statuses;
    private final MonotonicTime receivedAt = context.now();
    private int pendingJobs;

    PeerAnswer(long reply, int pendingJobs, Map<JobId, JobStatus> statuses) {
      this.reply = reply;
      this.pendingJobs = pendingJobs;
      this.statuses = statuses;
    }

    void add(JobId job, Optional<JobStatus> status) {
      status.ifPresent(found -> statuses.put(job, found));
      pendingJobs--;
      if (pendingJobs == 0) {
        countLate();
        context.reply(reply, OK, StatusQueryCodec.writeAnswer(statuses));
      }
    }

    /** Counts the answer if the asking controller has stopped waiting for it. */
    private void countLate() {
      if (context.now().since(receivedAt) > QUERY_TIMEOUT_MS) {
        context.count("status.answer.late");
        context.count("status.answer.late.jobs", statuses.size());
      }
    }
  }
}
