package shorecrank.coordination.shard;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.TaskAttemptId;
import shorecrank.storage.JobRecord;
import shorecrank.storage.JobRecord.AttemptRange;
import shorecrank.storage.ReadResult;

/**
 * Looks up tasks on a shard's machines that belong to no job of the shard. Such a task must not be
 * stopped, nor its result discarded, while a record of another shard names the attempt on that
 * machine, because that shard's owner has not recorded the result yet.
 */
final class ForeignTasks {
  private static final int READ_TIMEOUT_MS = 2000;

  /** Age in milliseconds after which a lookup is repeated. */
  private static final long LOOKUP_TTL_MS = 2000;

  /** Age in milliseconds after which a lookup is removed. */
  private static final long LOOKUP_RETENTION_MS = 30_000;

  /** Maximum number of jobs whose last lookup is kept; above it, no further job is looked up. */
  private static final int MAX_LOOKUPS = 10_000;

  /** Whether a record of another shard names an attempt on a machine. */
  enum ReferenceStatus {
    /** The record has not been read, or can't be decoded. */
    UNKNOWN,
    /** Another shard's record names the attempt. */
    REFERENCED,
    /** No record of another shard names the attempt. */
    UNREFERENCED
  }

  /** An attempt that a record names, and the machine that it names for it. */
  private record NamedAttempt(MachineName machine, TaskAttemptId attempt) {}

  /** The last read of a job's record. */
  private static final class Lookup {
    MonotonicTime answeredAt = MonotonicTime.NEVER;
    boolean inFlight;
    boolean isOfOtherShard;
    boolean unreadable;
    final Set<NamedAttempt> namedAttempts = new HashSet<>();
  }

  private final StepContext context;
  private final ShardLease lease;
  private final Map<JobId, Lookup> lookups = new HashMap<>();

  ForeignTasks(StepContext context, ShardLease lease) {
    this.context = context;
    this.lease = lease;
  }

  /**
   * Returns whether a record of another shard names an attempt on a machine, and starts a lookup of
   * the record if the last one is out of date. With a single shard, no attempt belongs to another.
   */
  ReferenceStatus referenceStatus(MachineName machine, TaskAttemptId attempt) {
    if (context.settings().shards() == 1) {
      return ReferenceStatus.UNREFERENCED;
    }
    Lookup lookup = lookups.get(attempt.job());
    if (lookup == null) {
      if (lookups.size() >= MAX_LOOKUPS) {
        return ReferenceStatus.UNKNOWN;
      }
      lookup = new Lookup();
      lookups.put(attempt.job(), lookup);
    }
    MonotonicTime now = context.now();
    boolean isFresh = now.since(lookup.answeredAt) < LOOKUP_TTL_MS;
    if (!isFresh) {
      lookUp(attempt.job(), lookup);
      return ReferenceStatus.UNKNOWN;
    }
    if (lookup.unreadable) {
      return ReferenceStatus.UNKNOWN;
    }
    boolean named =
        lookup.isOfOtherShard && lookup.namedAttempts.contains(new NamedAttempt(machine, attempt));
    return named ? ReferenceStatus.REFERENCED : ReferenceStatus.UNREFERENCED;
  }

  /** Removes lookups that have not been repeated lately; called once a second. */
  void removeExpired() {
    MonotonicTime now = context.now();
    lookups
        .values()
        .removeIf(lookup -> !lookup.inFlight && now.since(lookup.answeredAt) > LOOKUP_RETENTION_MS);
  }

  private void lookUp(JobId job, Lookup lookup) {
    if (lookup.inFlight || !context.requestBudget().has(1, context.now())) {
      return;
    }
    lookup.inFlight = true;
    context.count("foreign.lookups");
    context
        .store()
        .read(
            JobRecord.liveKey(job),
            READ_TIMEOUT_MS,
            result -> {
              lookup.inFlight = false;
              if (!(result instanceof ReadResult.Unavailable)) {
                lookup.answeredAt = context.now();
                recordResult(lookup, result);
              }
            });
  }

  private void recordResult(Lookup lookup, ReadResult result) {
    lookup.namedAttempts.clear();
    lookup.isOfOtherShard = false;
    lookup.unreadable = false;
    if (!(result instanceof ReadResult.Found found)) {
      return;
    }
    JobRecord record = JobRecord.read(found.entry().value());
    if (record == null) {
      lookup.unreadable = true;
      return;
    }
    lookup.isOfOtherShard = !lease.isOfShard(record.spec().team());
    for (AttemptRange range : record.live()) {
      for (int i = range.first(); i < range.first() + range.count(); i++) {
        if (!record.done().get(i)) {
          TaskAttemptId attempt = new TaskAttemptId(record.spec().id(), i, range.attempt());
          lookup.namedAttempts.add(new NamedAttempt(range.machine(), attempt));
        }
      }
    }
  }
}
