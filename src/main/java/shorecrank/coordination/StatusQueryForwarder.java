package shorecrank.coordination;

import static shorecrank.protocol.HttpStatus.OK;

import java.util.ArrayList;
import java.util.HashMap;
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
import shorecrank.protocol.HeartbeatMessages.OwnerInfo;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.PeerRequests.StatusQuery;
import shorecrank.protocol.StatusQueryCodec;
import shorecrank.protocol.UserMessages.JobStatus;

/**
 * Queries shard owners, in this process or at other controllers, for the status of jobs, and
 * answers such queries from other controllers. The queries between two ticks about the jobs of one
 * shard are sent to its owner in one message.
 */
final class StatusQueryForwarder implements OwnerQueries {
  private static final int QUERY_TIMEOUT_MS = 700;

  private final StepContext context;
  private final OwnerTable owners;
  private final OwnedShards shards;
  private final Map<ShardId, Map<JobId, List<StatusCallback>>> pending = new TreeMap<>();

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
    } else if (owners.findOther(shard).isEmpty()) {
      callback.onStatus(Optional.empty());
    } else {
      pending
          .computeIfAbsent(shard, key -> new LinkedHashMap<>())
          .computeIfAbsent(job, key -> new ArrayList<>(1))
          .add(callback);
    }
  }

  /**
   * Sends the queries to other controllers that have been collected since the last tick, in
   * messages of at most {@link StatusQueryCodec#MAX_JOBS} jobs.
   */
  void sendPending() {
    pending.forEach(this::send);
    pending.clear();
  }

  private void send(ShardId shard, Map<JobId, List<StatusCallback>> queries) {
    OwnerInfo owner = owners.find(shard);
    if (owner == null) {
      answer(queries, Map.of());
      return;
    }
    Map<JobId, List<StatusCallback>> message = new LinkedHashMap<>();
    for (Map.Entry<JobId, List<StatusCallback>> query : queries.entrySet()) {
      message.put(query.getKey(), query.getValue());
      if (message.size() == StatusQueryCodec.MAX_JOBS) {
        sendMessage(owner, message);
        message = new LinkedHashMap<>();
      }
    }
    if (!message.isEmpty()) {
      sendMessage(owner, message);
    }
  }

  private void sendMessage(OwnerInfo owner, Map<JobId, List<StatusCallback>> queries) {
    context
        .peers()
        .queryStatus(
            owner.controller(),
            owner.shard(),
            queries.keySet(),
            QUERY_TIMEOUT_MS,
            statuses -> answer(queries, statuses));
  }

  private static void answer(
      Map<JobId, List<StatusCallback>> queries, Map<JobId, JobStatus> statuses) {
    queries.forEach(
        (job, callbacks) -> {
          Optional<JobStatus> status = Optional.ofNullable(statuses.get(job));
          callbacks.forEach(callback -> callback.onStatus(status));
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
