package shorecrank.coordination.request;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;
import shorecrank.coordination.step.StepContext;
import shorecrank.coordination.step.Trampoline;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.UserMessages.JobState;

/**
 * Checks that the dependencies of a submission are jobs that were accepted.
 *
 * <p>Lookup results are cached for a while. If a submission has more dependencies than the budget
 * of state requests allows to look up, the user is told to retry; the repeated submission then
 * needs lookups only for the dependencies that are not cached.
 */
final class DependencyAdmission {
  private static final int MAX_CACHED_JOBS = 10_000;

  /** Upper bound of the concurrent lookups for one submission. */
  private static final int MAX_PARALLEL_LOOKUPS = 8;

  /**
   * How long a dependency is assumed not to be cancelled after its record was read and showed it
   * unfinished. If it is cancelled in the meantime, the shard owner cancels the submitted job, as
   * it does with jobs that were accepted before the cancellation.
   */
  private static final int UNFINISHED_VALID_MS = 5000;

  private final StepContext context;
  private final JobLookup jobs;

  /** When the record of a job was last read and showed the job unfinished. */
  private final Cache<JobId, MonotonicTime> lastSeenUnfinished =
      Caffeine.newBuilder().maximumSize(MAX_CACHED_JOBS).executor(Runnable::run).build();

  /** The outcome of checking a submission's dependencies. */
  sealed interface Result {
    /**
     * All dependencies are accepted jobs.
     *
     * @param hasCancelled whether one of them is cancelled
     */
    record Accepted(boolean hasCancelled) implements Result {}

    /** The dependency {@code id} was never accepted. */
    record NeverAccepted(JobId id) implements Result {}

    /** The state of a dependency could not be read from the state service. */
    record Unknown() implements Result {}

    /** The budget of state requests is exhausted. */
    record OutOfBudget() implements Result {}
  }

  DependencyAdmission(StepContext context, JobLookup jobs) {
    this.context = context;
    this.jobs = jobs;
  }

  /**
   * Checks the dependencies of a submission.
   *
   * @param callback receives the result exactly once, before this method returns if all
   *     dependencies are cached
   */
  void check(List<JobId> dependencies, Consumer<Result> callback) {
    new Check(dependencies, callback).lookups.run();
  }

  /** The check of one submission's dependencies. */
  private final class Check {
    private final ArrayDeque<JobId> remaining;
    private final Consumer<Result> callback;

    /** Starts lookups again after each result, also if that was cached and came at once. */
    private final Trampoline lookups = new Trampoline(this::startLookups);

    private int inFlight;
    private boolean hasCancelled;
    private boolean isFinished;

    Check(List<JobId> dependencies, Consumer<Result> callback) {
      this.remaining = new ArrayDeque<>(dependencies);
      this.callback = callback;
    }

    private void startLookups() {
      while (!isFinished && inFlight < MAX_PARALLEL_LOOKUPS && !remaining.isEmpty()) {
        JobId id = remaining.poll();
        if (wasSeenUnfinishedRecently(id)) {
          continue;
        }
        if (!context.requestBudget().has(1, context.now())) {
          finish(new Result.OutOfBudget());
          return;
        }
        inFlight++;
        jobs.find(id, result -> onLookupResult(id, result));
      }
      if (!isFinished && inFlight == 0 && remaining.isEmpty()) {
        finish(new Result.Accepted(hasCancelled));
      }
    }

    private boolean wasSeenUnfinishedRecently(JobId id) {
      MonotonicTime at = lastSeenUnfinished.getIfPresent(id);
      return at != null && context.now().since(at) < UNFINISHED_VALID_MS;
    }

    private void onLookupResult(JobId id, LookupResult result) {
      if (result instanceof LookupResult.Found found) {
        onFound(id, found.job().status().state());
      } else if (result instanceof LookupResult.Absent) {
        finish(new Result.NeverAccepted(id));
      } else {
        finish(new Result.Unknown());
      }
    }

    private void onFound(JobId id, JobState state) {
      inFlight--;
      if (state == JobState.CANCELLED) {
        hasCancelled = true;
      } else if (state != JobState.DONE) {
        lastSeenUnfinished.put(id, context.now());
      }
      lookups.run();
    }

    private void finish(Result result) {
      if (!isFinished) {
        isFinished = true;
        callback.accept(result);
      }
    }
  }
}
