package shorecrank.coordination.leader;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.Revision;

/**
 * Numbers the changes of machine assignments and keeps the most recent removals, so that a
 * heartbeat answer can list what changed since the version that the sender knows.
 */
final class AssignmentChangeLog {
  /**
   * The minimum number of removals to keep; with more machines than this, as many removals as
   * machines are kept. A controller that lags further behind gets all assignments, which is then
   * the shorter message.
   */
  private static final int MIN_RETAINED_REMOVALS = 1000;

  /**
   * The number of low bits of a version that count the changes within one term; the higher bits
   * hold the term.
   */
  private static final int CHANGE_NUMBER_BITS = 20;

  /** A machine whose assignment was removed, and the number of that change. */
  private record Removal(long version, MachineName name) {}

  private final ArrayDeque<Removal> removals = new ArrayDeque<>();

  /** The lowest version since which the log holds all changes. */
  private long completeFrom;

  private long version;

  /** Returns the number of the last change of any assignment. */
  long version() {
    return version;
  }

  /** Counts a change and returns its number. */
  long advance() {
    return ++version;
  }

  /**
   * Clears the log at the start of a term; controllers that know an earlier version get all
   * assignments.
   */
  void restart(Revision term) {
    // The version has to rise above all that were sent, also if the same term is loaded a second
    // time: otherwise a controller that lags could mistake later changes for those it already has.
    version = Math.max(version + 1, term.value() << CHANGE_NUMBER_BITS);
    removals.clear();
    completeFrom = version;
  }

  /**
   * Records that a machine's assignment was removed.
   *
   * @param machinesLeft the number of machines that are still assigned
   */
  void addRemoval(MachineName name, int machinesLeft) {
    removals.add(new Removal(advance(), name));
    while (removals.size() > Math.max(MIN_RETAINED_REMOVALS, machinesLeft)) {
      completeFrom = removals.poll().version();
    }
  }

  /** Reports whether the log holds all changes after a version. */
  boolean covers(long knownVersion) {
    return knownVersion >= completeFrom && knownVersion <= version;
  }

  /** Calls an action for each machine that was removed after a version, oldest removal first. */
  void forEachRemovalAfter(long knownVersion, Consumer<MachineName> action) {
    for (Removal removal : removals) {
      if (removal.version() > knownVersion) {
        action.accept(removal.name());
      }
    }
  }
}
