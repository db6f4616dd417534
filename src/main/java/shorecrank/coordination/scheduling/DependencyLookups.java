package shorecrank.coordination.scheduling;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.storage.JobRecord;
import shorecrank.storage.JobRecord.Final;
import shorecrank.storage.ReadResult;

/**
 * Reads from the state service the records of dependencies whose state this shard owner does not
 * know: jobs of other shards, and jobs that ended before this owner took over the shard.
 */
final class DependencyLookups {
  private static final int CALL_TIMEOUT_MS = 1500;

  /** Upper bound of the concurrent lookups. */
  private static final int MAX_IN_FLIGHT = 4;

  /** Delay before the next lookups after one that failed, in milliseconds. */
  private static final int RETRY_MS = 500;

  private final StepContext context;
  private final Consumer<JobId> onCancelled;
  private final BiConsumer<JobId, JobState> onEnded;

  /** Jobs to look up, in the order in which they were added. */
  private final Set<JobId> pending = new LinkedHashSet<>();

  private final Set<JobId> inFlight = new HashSet<>();
  private MonotonicTime nextAt = new MonotonicTime(0);

  /**
   * Creates an empty set of lookups.
   *
   * @param onCancelled receives jobs whose live record is marked as cancelled
   * @param onEnded receives jobs that have a final record, with the state in which they ended
   */
  DependencyLookups(
      StepContext context, Consumer<JobId> onCancelled, BiConsumer<JobId, JobState> onEnded) {
    this.context = context;
    this.onCancelled = onCancelled;
    this.onEnded = onEnded;
  }

  /** Adds a job to look up, after those added before. */
  void add(JobId id) {
    pending.add(id);
  }

  /** Adds a job to look up, and ends the delay after a failed lookup. */
  void addImmediate(JobId id) {
    pending.add(id);
    nextAt = context.now();
  }

  /** Removes a job whose state has become known. */
  void remove(JobId id) {
    pending.remove(id);
  }

  /** Removes all jobs; lookups in flight are not cancelled. */
  void clear() {
    pending.clear();
  }

  /**
   * Sends a few lookups, within the budget of state requests.
   *
   * @param isNeeded tests whether a job of the shard still waits for a dependency
   */
  void tick(Predicate<JobId> isNeeded) {
    if (pending.isEmpty() || context.now().isBefore(nextAt)) {
      return;
    }
    ArrayDeque<JobId> next = new ArrayDeque<>(pending);
    while (!next.isEmpty()
        && inFlight.size() < MAX_IN_FLIGHT
        && context.requestBudget().has(1, context.now())) {
      JobId id = next.poll();
      if (!isNeeded.test(id)) {
        pending.remove(id);
      } else if (inFlight.add(id)) {
        readLiveRecord(id);
      }
    }
  }

  /**
   * Reads the live record, which is followed by the final one if there is no live record. A job
   * that ends gets its final record as its live one is deleted, so the reverse order could find
   * neither.
   */
  private void readLiveRecord(JobId id) {
    pending.remove(id);
    context
        .store()
        .read(JobRecord.liveKey(id), CALL_TIMEOUT_MS, result -> onLiveRecord(id, result));
  }

  private void onLiveRecord(JobId id, ReadResult result) {
    if (result instanceof ReadResult.Found found) {
      inFlight.remove(id);
      // No further lookup is needed: the watch shows later changes and the deletion of the record.
      if (JobRecord.isMarkedCancelled(found.entry().value())) {
        onCancelled.accept(id);
      }
    } else if (result instanceof ReadResult.Absent) {
      readFinalRecord(id);
    } else {
      retry(id);
    }
  }

  private void readFinalRecord(JobId id) {
    context
        .store()
        .read(JobRecord.finalKey(id), CALL_TIMEOUT_MS, result -> onFinalRecord(id, result));
  }

  private void onFinalRecord(JobId id, ReadResult result) {
    if (result instanceof ReadResult.Found found) {
      Final end = Final.read(found.entry().value());
      if (end != null) {
        inFlight.remove(id);
        onEnded.accept(id, end.state());
        return;
      }
      context.reportUnreadableValue(JobRecord.finalKey(id));
    } else if (result instanceof ReadResult.Absent) {
      context.error("dependency.record.missing job=%s", id);
    }
    retry(id);
  }

  private void retry(JobId id) {
    inFlight.remove(id);
    pending.add(id);
    nextAt = context.now().plus(RETRY_MS);
  }
}
