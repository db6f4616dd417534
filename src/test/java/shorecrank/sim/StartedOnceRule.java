package shorecrank.sim;

import java.util.HashSet;
import java.util.Set;

/**
 * Checks the rule {@code started_again}: a machine starts an attempt at most once. A worker that
 * has reaped an attempt, or has lost it with its incarnation, would take a late copy of the start
 * for a new one.
 */
final class StartedOnceRule extends Rule {
  /** An attempt on a machine. */
  private record MachineAttempt(String machine, String task, long attempt) {}

  private final Set<MachineAttempt> started = new HashSet<>();

  StartedOnceRule(World world, Checker checker) {
    super(world, checker);
  }

  @Override
  void startCommanded(SimulatedWorker worker, String task, long attempt) {
    if (!started.add(new MachineAttempt(worker.name(), task, attempt))) {
      report("started_again: %s try %d on %s".formatted(task, attempt, worker.name()));
    }
  }
}
