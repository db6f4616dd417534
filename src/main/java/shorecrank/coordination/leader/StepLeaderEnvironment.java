package shorecrank.coordination.leader;

import shorecrank.coordination.step.StepContext;
import shorecrank.leadership.LeaderEnvironment;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.storage.StateStore;

/**
 * Provides the leader's state machines with the time, state service, rate limits, log and metrics
 * of a {@link StepContext}.
 */
public final class StepLeaderEnvironment implements LeaderEnvironment {
  private static final int BYTES_PER_KB = 1024;

  private final StepContext context;

  /** Creates the environment of a context. */
  public StepLeaderEnvironment(StepContext context) {
    this.context = context;
  }

  @Override
  public MonotonicTime now() {
    return context.now();
  }

  @Override
  public long wallMs() {
    return context.wallMs();
  }

  @Override
  public StateStore store() {
    return context.store();
  }

  @Override
  public boolean hasWriteBudget(int changes) {
    return context.writeBudget().has(changes, context.now());
  }

  @Override
  public boolean tryTakeWrites(int changes) {
    return context.writeBudget().tryTake(changes, context.now());
  }

  @Override
  public boolean hasRequestBudget() {
    // Only checks the rate limit: sending the request takes it from the limit.
    return context.requestBudget().has(1, context.now());
  }

  @Override
  public double maxChangesPerSecond() {
    return context.config().state().writeRps();
  }

  @Override
  public int maxTransactionOperations() {
    return context.config().state().txnOps();
  }

  @Override
  public int maxValueBytes() {
    return (int) (context.config().state().valueKb() * BYTES_PER_KB);
  }

  @Override
  public void info(String format, Object... args) {
    context.info(format, args);
  }

  @Override
  public void reportError(String metric, String what) {
    context.reportError(metric, what);
  }

  @Override
  public void gauge(String metric, double value) {
    context.gauge(metric, value);
  }

  @Override
  public void count(String metric, long by) {
    context.count(metric, by);
  }
}
