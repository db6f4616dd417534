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
 * Looks up the jobs that a submission names as its prerequisites.
 *
 * <p>What was found is kept for a while: a submission that names more jobs than the budget of state
 * requests allows at once is answered "later", and goes on where it stopped when it is repeated.
 */
final class DependencyAdmission {
  /** What is known of the named jobs. */
  sealed interface Result {
    /** All were accepted; one of them may be cancelled. */
    record Accepted(boolean cancelled) implements Result {}

    /** One was never accepted. */
    record NeverAccepted(JobId id) implements Result {}

    /** The state service did not answer. */
    record Unknown() implements Result {}

    /** The budget of state requests is used up. */
    record OutOfBudget() implements Result {}
  }

  /** Looks one job up in the state service. */
  interface LookUp {
    void lookUp(JobId id, Consumer<JobState> found, Runnable absent, Runnable unknown);
  }

  private static final int MAX_KEPT = 10_000;

  /** So many lookups of one submission are under way at once. */
  private static final int PARALLEL = 8;

  /**
   * So long a job seen unfinished counts as not cancelled. What is accepted meanwhile is cancelled
   * by its owner, as if it had been accepted before the cancellation.
   */
  private static final int FRESH_MS = 5000;

  private final StepContext context;
  private final LookUp lookUp;

  /** Jobs seen in their records, and when. */
  private final Cache<JobId, MonotonicTime> unfinished =
      Caffeine.newBuilder().maximumSize(MAX_KEPT).executor(Runnable::run).build();

  DependencyAdmission(StepContext context, LookUp lookUp) {
    this.context = context;
    this.lookUp = lookUp;
  }

  void check(List<JobId> named, Consumer<Result> then) {
    new Run(named, then).next();
  }

  /** The lookups of one submission. */
  private final class Run {
    private final ArrayDeque<JobId> left;
    private final Consumer<Result> then;
    private int underWay;
    private boolean cancelled;
    private boolean over;

    Run(List<JobId> named, Consumer<Result> then) {
      this.left = new ArrayDeque<>(named);
      this.then = then;
    }

    void next() {
      while (!over && underWay < PARALLEL && !left.isEmpty()) {
        JobId id = left.poll();
        if (seenLately(id)) {
          continue;
        }
        if (!context.requests.has(1, context.now())) {
          end(new Result.OutOfBudget());
          return;
        }
        underWay++;
        lookUp.lookUp(
            id,
            phase -> found(id, phase),
            () -> end(new Result.NeverAccepted(id)),
            () -> end(new Result.Unknown()));
      }
      if (!over && underWay == 0 && left.isEmpty()) {
        end(new Result.Accepted(cancelled));
      }
    }

    private boolean seenLately(JobId id) {
      MonotonicTime at = unfinished.getIfPresent(id);
      return at != null && context.now().since(at) < FRESH_MS;
    }

    private void found(JobId id, JobState phase) {
      underWay--;
      if (phase == JobState.CANCELLED) {
        cancelled = true;
      } else if (phase != JobState.DONE) {
        unfinished.put(id, context.now());
      }
      next();
    }

    private void end(Result result) {
      if (!over) {
        over = true;
        then.accept(result);
      }
    }
  }
}
