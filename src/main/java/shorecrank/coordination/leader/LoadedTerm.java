package shorecrank.coordination.leader;

import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.Revision;

/**
 * The term whose epochs, shards and machines this process holds in memory. Answers to calls that
 * were sent under another term are ignored.
 */
final class LoadedTerm {
  private final StepContext context;
  private Revision term = Revision.ABSENT;
  private MonotonicTime earliestLoadAt = new MonotonicTime(0);

  LoadedTerm(StepContext context) {
    this.context = context;
  }

  /** The term; {@link Revision#ABSENT} if nothing is loaded. */
  Revision current() {
    return term;
  }

  /** Whether everything was loaded under that term and still counts. */
  boolean isCurrent(Revision other) {
    return term.equals(other);
  }

  /** What was loaded counts from now on. */
  void markLoaded(Revision loaded) {
    term = loaded;
  }

  /** What is in memory may be out of date: everything is to be loaded again. */
  void discard() {
    term = Revision.ABSENT;
  }

  /** Loading is not to begin before {@code pauseMs} have passed. */
  void postponeLoading(long pauseMs) {
    earliestLoadAt = context.now().plus(pauseMs);
  }

  /** Whether loading may begin now. */
  boolean mayLoad() {
    return !context.now().isBefore(earliestLoadAt);
  }
}
