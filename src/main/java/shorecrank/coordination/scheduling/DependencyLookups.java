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
 * Looks up jobs in the state service that jobs of the shard depend on and whose state is not known:
 * those of other shards, and those that ended before the owner took over.
 */
final class DependencyLookups {
  private static final int CALL_TIMEOUT_MS = 1500;

  /** So many jobs are looked up at a time. */
  private static final int MAX_IN_FLIGHT = 4;

  /** A look-up that told nothing is repeated after so long. */
  private static final int RETRY_MS = 500;

  private final StepContext context;
  private final Consumer<JobId> onCancelled;
  private final BiConsumer<JobId, JobState> onEnded;

  /** Jobs to be looked up. */
  private final Set<JobId> pending = new LinkedHashSet<>();

  private final Set<JobId> inFlight = new HashSet<>();
  private MonotonicTime nextAt = new MonotonicTime(0);

  /**
   * Look-ups whose outcomes go to the two consumers.
   *
   * @param onCancelled takes unfinished jobs with the mark of a cancellation
   * @param onEnded takes jobs that have a final record, with the state that it says
   */
  DependencyLookups(
      StepContext context, Consumer<JobId> onCancelled, BiConsumer<JobId, JobState> onEnded) {
    this.context = context;
    this.onCancelled = onCancelled;
    this.onEnded = onEnded;
  }

  /** Looks the job up when it is its turn. */
  void add(JobId id) {
    pending.add(id);
  }

  /** Looks the job up in the next round. */
  void addAtOnce(JobId id) {
    pending.add(id);
    nextAt = context.now();
  }

  /** The state of the job has become known. */
  void remove(JobId id) {
    pending.remove(id);
  }

  /** Nothing is to be looked up any more; look-ups under way are not called off. */
  void clear() {
    pending.clear();
  }

  /**
   * Sends a few look-ups, within the budget of requests.
   *
   * @param isNeeded whether a job is still waited for
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

  /** In the order in which a job moves, so that one that ends meanwhile is not missed. */
  private void readLiveRecord(JobId id) {
    pending.remove(id);
    context
        .store()
        .read(JobRecord.liveKey(id), CALL_TIMEOUT_MS, result -> onLiveRecord(id, result));
  }

  private void onLiveRecord(JobId id, ReadResult result) {
    if (result instanceof ReadResult.Found found) {
      inFlight.remove(id);
      // While it lives, the watch shows its mark or its end.
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
