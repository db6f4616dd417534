package shorecrank.coordination.request;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import shorecrank.coordination.model.CancellationLog;
import shorecrank.coordination.request.StoredJob.CancelledWithDependency;
import shorecrank.coordination.request.StoredJob.Finished;
import shorecrank.coordination.request.StoredJob.Unfinished;
import shorecrank.coordination.step.StepContext;
import shorecrank.coordination.step.Trampoline;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.StoreMessages.Entry;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.storage.JobRecord;
import shorecrank.storage.JobRecord.Final;
import shorecrank.storage.ReadResult;

/** Looks up jobs in the state service. Caches final records, which never change. */
public final class JobLookup {
  private static final int READ_TIMEOUT_MS = 1500;
  private static final int MAX_CACHED_JOBS = 10_000;

  private final StepContext context;
  private final CancellationLog cancellations;
  private final Cache<JobId, Final> finalRecords = newCache();

  /** The shards of jobs whose live record this controller or a shard's owner has seen. */
  private final Cache<JobId, ShardId> shards = newCache();

  /**
   * Creates a lookup with empty caches.
   *
   * @param cancellations records dependencies that are found to be cancelled
   */
  public JobLookup(StepContext context, CancellationLog cancellations) {
    this.context = context;
    this.cancellations = cancellations;
  }

  private static <V> Cache<JobId, V> newCache() {
    return Caffeine.newBuilder().maximumSize(MAX_CACHED_JOBS).executor(Runnable::run).build();
  }

  /** Caches the shard of a job. */
  void cacheShard(JobSpec spec) {
    shards.put(spec.id(), ShardId.of(spec.team(), context.settings().shards()));
  }

  /** Caches the shard of a job whose owner has answered for it. */
  void cacheShard(JobId id, ShardId shard) {
    shards.put(id, shard);
  }

  /**
   * Caches that a job is done, which its owner has answered, so that later lookups need no state
   * request.
   */
  void cacheDone(JobId id, int tasks) {
    finalRecords.put(id, new Final(JobState.DONE, tasks));
  }

  /** Returns the shard of a job, or empty if it is not cached. */
  Optional<ShardId> findShard(JobId id) {
    return Optional.ofNullable(shards.getIfPresent(id));
  }

  /** Reports whether the job's final record is cached, so that a lookup needs no state request. */
  boolean isFinished(JobId id) {
    return finalRecords.getIfPresent(id) != null;
  }

  /**
   * Looks up a job; the callback runs before this method returns if the job's final record is
   * cached. Reads the live record first, then the final one: one transaction deletes the live
   * record of a job that ends and writes the final one, so a job that has neither was not accepted
   * when the lookup began.
   */
  void find(JobId id, Consumer<LookupResult> callback) {
    findRecord(
        id,
        result -> {
          if (result instanceof LookupResult.Found found
              && found.job() instanceof Unfinished waiting
              && waiting.mayWaitForDependencies()) {
            new DependencySearch(waiting, callback).search.run();
          } else {
            callback.accept(result);
          }
        });
  }

  private void findRecord(JobId id, Consumer<LookupResult> callback) {
    Final finalRecord = finalRecords.getIfPresent(id);
    if (finalRecord != null) {
      callback.accept(new LookupResult.Found(new Finished(finalRecord)));
      return;
    }
    String key = JobRecord.liveKey(id);
    context.count("state.requests.by.lookup");
    context
        .store()
        .read(
            key,
            READ_TIMEOUT_MS,
            result -> {
              if (result instanceof ReadResult.Found found) {
                callback.accept(readUnfinished(key, found.entry()));
              } else if (result instanceof ReadResult.Absent) {
                findFinal(id, callback);
              } else {
                callback.accept(new LookupResult.Unknown());
              }
            });
  }

  private LookupResult readUnfinished(String key, Entry entry) {
    JobRecord record = JobRecord.read(entry.value());
    if (record == null) {
      context.reportUnreadableValue(key);
      return new LookupResult.Unknown();
    }
    cacheShard(record.spec());
    return new LookupResult.Found(new Unfinished(record, entry.revision()));
  }

  private void findFinal(JobId id, Consumer<LookupResult> callback) {
    String key = JobRecord.finalKey(id);
    context.count("state.requests.by.lookup");
    context
        .store()
        .read(key, READ_TIMEOUT_MS, result -> callback.accept(readFinal(id, key, result)));
  }

  private LookupResult readFinal(JobId id, String key, ReadResult result) {
    if (result instanceof ReadResult.Absent) {
      return new LookupResult.Absent();
    }
    if (!(result instanceof ReadResult.Found found)) {
      return new LookupResult.Unknown();
    }
    Final finalRecord = Final.read(found.entry().value());
    if (finalRecord == null) {
      context.reportUnreadableValue(key);
      return new LookupResult.Unknown();
    }
    finalRecords.put(id, finalRecord);
    return new LookupResult.Found(new Finished(finalRecord));
  }

  /**
   * The search for a cancelled job among the transitive dependencies of a waiting job. If there is
   * one, the waiting job counts as cancelled even before its shard owner has written that.
   */
  private final class DependencySearch {
    private final Unfinished waiting;
    private final ArrayDeque<JobId> pending;
    private final Set<JobId> visited;
    private final Consumer<LookupResult> callback;

    /** Continues after each record, also if that was cached and came at once. */
    private final Trampoline search = new Trampoline(this::searchNext);

    DependencySearch(Unfinished waiting, Consumer<LookupResult> callback) {
      this.waiting = waiting;
      this.pending = new ArrayDeque<>(waiting.record().spec().dependencies());
      this.visited = new HashSet<>(pending);
      this.callback = callback;
    }

    private void searchNext() {
      JobId id = pending.poll();
      if (id == null) {
        callback.accept(new LookupResult.Found(waiting));
      } else if (cancellations.isCancelled(id)) {
        finishCancelled();
      } else {
        findRecord(id, result -> onRead(id, result));
      }
    }

    private void onRead(JobId id, LookupResult result) {
      if (result instanceof LookupResult.Unknown) {
        callback.accept(result);
        return;
      }
      if (result instanceof LookupResult.Found found) {
        if (found.job().status().state() == JobState.CANCELLED) {
          cancellations.recordCancelled(id);
          finishCancelled();
          return;
        }
        if (found.job() instanceof Unfinished needed && needed.mayWaitForDependencies()) {
          needed.record().spec().dependencies().stream().filter(visited::add).forEach(pending::add);
        }
      }
      search.run();
    }

    private void finishCancelled() {
      callback.accept(new LookupResult.Found(new CancelledWithDependency(waiting.record())));
    }
  }
}
