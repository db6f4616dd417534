package shorecrank.coordination.leader;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.Revision;

/** Numbers the changes of assignments, and keeps which machines were removed by the latest. */
final class AssignmentChangeLog {
  /**
   * At least so many removals are kept, and as many as there are machines: a controller that lags
   * further behind gets all assignments, which is then the shorter message.
   */
  private static final int MIN_RETAINED_REMOVALS = 1000;

  /** Each term has so many changes of its own, as a power of two. */
  private static final int TERM_BITS = 20;

  /** A machine that is no longer assigned as owners know. */
  private record Removal(long version, MachineName name) {}

  private final ArrayDeque<Removal> removals = new ArrayDeque<>();
  private long completeFrom;
  private long version;

  /** The number of the last change. */
  long version() {
    return version;
  }

  /** The number of the next change, which is then the last. */
  long advance() {
    return ++version;
  }

  /** Starts anew under a term; whoever knows an earlier change gets all assignments. */
  void restart(Revision term) {
    // Above all that was told in this term, should this be a second look in it: else a controller
    // that lags could take later changes for those it knows.
    version = Math.max(version + 1, term.value() << TERM_BITS);
    removals.clear();
    completeFrom = version;
  }

  /** A machine was removed, of those of which {@code machines} are left. */
  void addRemoval(MachineName name, int machinesLeft) {
    removals.add(new Removal(advance(), name));
    while (removals.size() > Math.max(MIN_RETAINED_REMOVALS, machinesLeft)) {
      completeFrom = removals.poll().version();
    }
  }

  /** Whether all changes after this one are known here. */
  boolean covers(long known) {
    return known >= completeFrom && known <= version;
  }

  /** Passes on the machines that were removed after a change, in that order. */
  void forEachRemovalAfter(long known, Consumer<MachineName> action) {
    for (Removal removal : removals) {
      if (removal.version() > known) {
        action.accept(removal.name());
      }
    }
  }
}
