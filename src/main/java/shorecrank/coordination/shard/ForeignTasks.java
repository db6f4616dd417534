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
 * Tasks on a shard's machines that none of its jobs explains. Before such a task is stopped or its
 * result discarded, the state service is asked whether the record of another shard names it there:
 * that shard's owner has not taken its result yet.
 */
final class ForeignTasks {
  private static final int READ_TIMEOUT_MS = 2000;

  /** What was found is asked for again after so long. */
  private static final long LOOKUP_TTL_MS = 2000;

  /** Answers older than this are dropped. */
  private static final long LOOKUP_RETENTION_MS = 30_000;

  private static final int MAX_LOOKUPS = 10_000;

  /** What may be done with a task. */
  enum ReferenceStatus {
    /** Not known yet. */
    UNKNOWN,
    /** Another shard's record names it. */
    REFERENCED,
    /** No record of another shard names it. */
    UNREFERENCED
  }

  /** An attempt that a record names on a machine. */
  private record NamedAttempt(MachineName machine, TaskAttemptId attempt) {}

  /** A job's record as it was read. */
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

  /** What is known of a task now; asks for what is not. With one shard only there is no other. */
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

  /** Once a second: forgets what nobody asks for any more. */
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
