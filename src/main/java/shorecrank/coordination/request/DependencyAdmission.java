package shorecrank.coordination.request;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.UserMessages.JobState;

/**
 * Looks up the jobs that a submission names as its dependencies.
 *
 * <p>What was found is kept for a while: a submission that names more jobs than the budget of state
 * requests allows at once is answered "later", and goes on where it stopped when it is repeated.
 */
final class DependencyAdmission {
  private static final int MAX_KEPT = 10_000;

  /** The most lookups of one submission that are under way at once. */
  private static final int PARALLEL = 8;

  /**
   * A job seen unfinished counts as not cancelled for this long. What is accepted meanwhile is
   * cancelled by its owner, as if it had been accepted before the cancellation.
   */
  private static final int FRESH_MS = 5000;

  private final StepContext context;
  private final JobLookup jobs;

  /** When jobs were last seen in their records. */
  private final Cache<JobId, MonotonicTime> unfinishedAt =
      Caffeine.newBuilder().maximumSize(MAX_KEPT).executor(Runnable::run).build();

  /** What is known of the named jobs. */
  sealed interface Result {
    /** All were accepted. */
    record Accepted(boolean hasCancelled) implements Result {}

    /** One was never accepted. */
    record NeverAccepted(JobId id) implements Result {}

    /** The state service did not answer. */
    record Unknown() implements Result {}

    /** The budget of state requests is used up. */
    record OutOfBudget() implements Result {}
  }

  DependencyAdmission(StepContext context, JobLookup jobs) {
    this.context = context;
    this.jobs = jobs;
  }

  /** Looks the named jobs up; the result comes exactly once, at once if all are known. */
  void check(List<JobId> named, Consumer<Result> then) {
    new Check(named, then).next();
  }

  /** The lookups of one submission. */
  private final class Check {
    private final ArrayDeque<JobId> left;
    private final Consumer<Result> then;
    private int underWay;
    private boolean hasCancelled;
    private boolean isOver;

    Check(List<JobId> named, Consumer<Result> then) {
      this.left = new ArrayDeque<>(named);
      this.then = then;
    }

    void next() {
      while (!isOver && underWay < PARALLEL && !left.isEmpty()) {
        JobId id = left.poll();
        if (isSeenLately(id)) {
          continue;
        }
        if (!context.requestBudget().has(1, context.now())) {
          end(new Result.OutOfBudget());
          return;
        }
        underWay++;
        jobs.find(id, result -> read(id, result));
      }
      if (!isOver && underWay == 0 && left.isEmpty()) {
        end(new Result.Accepted(hasCancelled));
      }
    }

    private boolean isSeenLately(JobId id) {
      MonotonicTime at = unfinishedAt.getIfPresent(id);
      return at != null && context.now().since(at) < FRESH_MS;
    }

    private void read(JobId id, LookupResult result) {
      if (result instanceof LookupResult.Found found) {
        found(id, found.job().status().state());
      } else if (result instanceof LookupResult.Absent) {
        end(new Result.NeverAccepted(id));
      } else {
        end(new Result.Unknown());
      }
    }

    private void found(JobId id, JobState state) {
      underWay--;
      if (state == JobState.CANCELLED) {
        hasCancelled = true;
      } else if (state != JobState.DONE) {
        unfinishedAt.put(id, context.now());
      }
      next();
    }

    private void end(Result result) {
      if (!isOver) {
        isOver = true;
        then.accept(result);
      }
    }
  }
}
