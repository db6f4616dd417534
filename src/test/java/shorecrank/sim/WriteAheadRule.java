package shorecrank.sim;

import shorecrank.storage.JobRecord;
import shorecrank.storage.JobRecord.AttemptRange;

/**
 * Checks the order of writes and commands: an attempt is recorded before it is started, and its end
 * is recorded before it is reaped.
 */
final class WriteAheadRule extends Rule {
  WriteAheadRule(World world, Checker checker) {
    super(world, checker);
  }

  @Override
  void startCommanded(SimulatedWorker worker, String task, long attempt) {
    JobRecord record = record(task);
    if (record != null && !isLive(record, worker, task, attempt)) {
      report("started before recorded: %s on %s".formatted(task, worker.name()));
    }
  }

  @Override
  void reapCommanded(SimulatedWorker worker, String task, long attempt) {
    JobRecord record = record(task);
    if (record != null && isLive(record, worker, task, attempt)) {
      report("reaped before recorded: %s on %s".formatted(task, worker.name()));
    }
  }

  private JobRecord record(String task) {
    return JobRecord.read(world().store.peek(JobRecord.LIVE_PREFIX + SubmittedJobs.jobOf(task)));
  }

  private static boolean isLive(
      JobRecord record, SimulatedWorker worker, String task, long attempt) {
    int index = Integer.parseInt(task.substring(task.lastIndexOf('/') + 1));
    for (AttemptRange range : record.live()) {
      if (range.machine().value().equals(worker.name())
          && range.attempt().value() == attempt
          && range.incarnation().value() == worker.incarnation()
          && index >= range.first()
          && index < range.first() + range.count()
          && !record.done().get(index)) {
        return true;
      }
    }
    return false;
  }
}
