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
  private static final long FRESH_MS = 2000;

  /** Answers older than this are dropped. */
  private static final long KEPT_MS = 30_000;

  private static final int MAX_KEPT = 10_000;

  /** What may be done with a task. */
  enum Verdict {
    /** Not known yet. */
    UNKNOWN,
    /** Another shard's record names it. */
    NAMED_ELSEWHERE,
    /** No record of another shard names it. */
    UNCLAIMED
  }

  /** An attempt that a record names on a machine. */
  private record Named(MachineName machine, TaskAttemptId run) {}

  /** A job's record as it was read. */
  private static final class Lookup {
    MonotonicTime answeredAt = MonotonicTime.NEVER;
    boolean busy;
    boolean isOfOtherShard;
    boolean unreadable;
    final Set<Named> named = new HashSet<>();
  }

  private final StepContext context;
  private final ShardLease lease;
  private final Map<JobId, Lookup> lookups = new HashMap<>();

  ForeignTasks(StepContext context, ShardLease lease) {
    this.context = context;
    this.lease = lease;
  }

  /** What is known of a task now; asks for what is not. With one shard only there is no other. */
  Verdict verdict(MachineName machine, TaskAttemptId run) {
    if (context.settings().shards() == 1) {
      return Verdict.UNCLAIMED;
    }
    Lookup lookup = lookups.get(run.job());
    if (lookup == null) {
      if (lookups.size() >= MAX_KEPT) {
        return Verdict.UNKNOWN;
      }
      lookup = new Lookup();
      lookups.put(run.job(), lookup);
    }
    MonotonicTime now = context.now();
    boolean fresh = now.since(lookup.answeredAt) < FRESH_MS;
    if (!fresh) {
      ask(run.job(), lookup);
      return Verdict.UNKNOWN;
    }
    if (lookup.unreadable) {
      return Verdict.UNKNOWN;
    }
    boolean named = lookup.isOfOtherShard && lookup.named.contains(new Named(machine, run));
    return named ? Verdict.NAMED_ELSEWHERE : Verdict.UNCLAIMED;
  }

  /** Once a second: forgets what nobody asks for any more. */
  void tidy() {
    MonotonicTime now = context.now();
    lookups.values().removeIf(lookup -> !lookup.busy && now.since(lookup.answeredAt) > KEPT_MS);
  }

  private void ask(JobId job, Lookup lookup) {
    if (lookup.busy || !context.requestBudget().has(1, context.now())) {
      return;
    }
    lookup.busy = true;
    context.count("foreign.lookups");
    context
        .store()
        .read(
            JobRecord.liveKey(job),
            READ_TIMEOUT_MS,
            result -> {
              lookup.busy = false;
              if (!(result instanceof ReadResult.Unavailable)) {
                lookup.answeredAt = context.now();
                take(lookup, result);
              }
            });
  }

  private void take(Lookup lookup, ReadResult result) {
    lookup.named.clear();
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
          TaskAttemptId run = new TaskAttemptId(record.spec().id(), i, range.attempt());
          lookup.named.add(new Named(range.machine(), run));
        }
      }
    }
  }
}
