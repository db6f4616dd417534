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

  /** Returns the term; {@link Revision#ABSENT} if nothing is loaded. */
  Revision current() {
    return term;
  }

  /** Reports whether the state in memory was loaded under a term and is still valid. */
  boolean isCurrent(Revision other) {
    return term.equals(other);
  }

  /** Marks the state in memory as loaded under a term. */
  void markLoaded(Revision loaded) {
    term = loaded;
  }

  /** Marks the state in memory as outdated, so that it is loaded again. */
  void discard() {
    term = Revision.ABSENT;
  }

  /** Delays loading by {@code pauseMs} from now. */
  void postponeLoading(long pauseMs) {
    earliestLoadAt = context.now().plus(pauseMs);
  }

  /** Reports whether loading may start now. */
  boolean mayLoad() {
    return !context.now().isBefore(earliestLoadAt);
  }
}
