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
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.StoreMessages.Entry;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.storage.JobRecord;
import shorecrank.storage.JobRecord.Final;
import shorecrank.storage.ReadResult;

/** Looks jobs up in the state service. What can never change again is kept. */
public final class JobLookup {
  private static final int READ_TIMEOUT_MS = 1500;
  private static final int MAX_KEPT = 5000;

  private final StepContext context;
  private final CancellationLog cancellations;
  private final Cache<JobId, Final> finished = newCache();

  /** The shards of jobs seen here, whose owners can be asked about them. */
  private final Cache<JobId, ShardId> shards = newCache();

  /** Creates a lookup that has seen no job. */
  public JobLookup(StepContext context, CancellationLog cancellations) {
    this.context = context;
    this.cancellations = cancellations;
  }

  private static <V> Cache<JobId, V> newCache() {
    return Caffeine.newBuilder().maximumSize(MAX_KEPT).executor(Runnable::run).build();
  }

  /** Notes which shard the job belongs to. */
  void rememberShard(JobSpec spec) {
    shards.put(spec.id(), ShardId.of(spec.team(), context.settings().shards()));
  }

  /** The shard of a job that was seen here. */
  Optional<ShardId> findShard(JobId id) {
    return Optional.ofNullable(shards.getIfPresent(id));
  }

  /** Whether the job is known to be over, so that a lookup needs no state request. */
  boolean isFinished(JobId id) {
    return finished.getIfPresent(id) != null;
  }

  /**
   * Looks a job up. The record of an unfinished job is read first: a job only ever moves from there
   * to the final records, in one transaction, so one found in neither was not known when asked for.
   */
  void find(JobId id, Consumer<LookupResult> then) {
    findRecord(
        id,
        result -> {
          if (result instanceof LookupResult.Found found
              && found.job() instanceof Unfinished waiting
              && waiting.mayWait()) {
            new DependencySearch(waiting, then).next();
          } else {
            then.accept(result);
          }
        });
  }

  private void findRecord(JobId id, Consumer<LookupResult> then) {
    Final end = finished.getIfPresent(id);
    if (end != null) {
      then.accept(new LookupResult.Found(new Finished(end)));
      return;
    }
    String key = JobRecord.liveKey(id);
    context
        .store()
        .read(
            key,
            READ_TIMEOUT_MS,
            result -> {
              if (result instanceof ReadResult.Found found) {
                then.accept(readUnfinished(key, found.entry()));
              } else if (result instanceof ReadResult.Absent) {
                findFinal(id, then);
              } else {
                then.accept(new LookupResult.Unknown());
              }
            });
  }

  private LookupResult readUnfinished(String key, Entry entry) {
    JobRecord record = JobRecord.read(entry.value());
    if (record == null) {
      context.reportUnreadableValue(key);
      return new LookupResult.Unknown();
    }
    rememberShard(record.spec());
    return new LookupResult.Found(new Unfinished(record, entry.revision()));
  }

  private void findFinal(JobId id, Consumer<LookupResult> then) {
    String key = JobRecord.finalKey(id);
    context.store().read(key, READ_TIMEOUT_MS, result -> then.accept(readFinal(id, key, result)));
  }

  private LookupResult readFinal(JobId id, String key, ReadResult result) {
    if (result instanceof ReadResult.Absent) {
      return new LookupResult.Absent();
    }
    if (!(result instanceof ReadResult.Found found)) {
      return new LookupResult.Unknown();
    }
    Final end = Final.read(found.entry().value());
    if (end == null) {
      context.reportUnreadableValue(key);
      return new LookupResult.Unknown();
    }
    finished.put(id, end);
    return new LookupResult.Found(new Finished(end));
  }

  /**
   * The search for a cancelled job among those that a waiting job needs. A job that waits is
   * cancelled with any that it needs, directly or through others, whether or not its owner has
   * written that yet.
   */
  private final class DependencySearch {
    private final Unfinished waiting;
    private final ArrayDeque<JobId> open;
    private final Set<JobId> seen;
    private final Consumer<LookupResult> then;

    DependencySearch(Unfinished waiting, Consumer<LookupResult> then) {
      this.waiting = waiting;
      this.open = new ArrayDeque<>(waiting.record().spec().dependencies());
      this.seen = new HashSet<>(open);
      this.then = then;
    }

    void next() {
      JobId id = open.poll();
      if (id == null) {
        then.accept(new LookupResult.Found(waiting));
      } else if (cancellations.isKnown(id)) {
        endCancelled();
      } else {
        findRecord(id, result -> read(id, result));
      }
    }

    private void read(JobId id, LookupResult result) {
      if (result instanceof LookupResult.Unknown) {
        then.accept(result);
        return;
      }
      if (result instanceof LookupResult.Found found) {
        if (found.job().status().state() == JobState.CANCELLED) {
          cancellations.recordCancelled(id);
          endCancelled();
          return;
        }
        if (found.job() instanceof Unfinished needed && needed.mayWait()) {
          needed.record().spec().dependencies().stream().filter(seen::add).forEach(open::add);
        }
      }
      next();
    }

    private void endCancelled() {
      then.accept(new LookupResult.Found(new CancelledWithDependency(waiting.record())));
    }
  }
}
