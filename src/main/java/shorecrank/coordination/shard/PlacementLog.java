package shorecrank.coordination.shard;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.JobRecordState;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.Revision;

/** Logs the placements in committed writes. */
final class PlacementLog {
  /** Maximum number of machines of one placement that a log line names. */
  private static final int MAX_MACHINES = 8;

  private final StepContext context;

  PlacementLog(StepContext context) {
    this.context = context;
  }

  /**
   * Logs the placement in a write of a job's record, if it holds one.
   *
   * @param sequence the sequence number of the write
   * @param revision the revision at which it was committed
   * @param epoch the epoch under which it was committed
   */
  void logCommitted(Job job, long sequence, Revision revision, Epoch epoch) {
    JobRecordState record = job.record();
    if (!record.isPlacementSent() || sequence != record.sequence()) {
      return;
    }
    Map<MachineName, Integer> tasksByMachine = new LinkedHashMap<>();
    int tasks = 0;
    for (TaskAttempt attempt : job.tasks().attempts()) {
      if (attempt.writeSequence() == sequence) {
        tasksByMachine.merge(attempt.machine().name(), 1, Integer::sum);
        tasks++;
      }
    }
    context.count("task.placed", tasks);
    context.infoLimited(
        "placement.committed",
        "job=%s team=%s tasks=%d on=%s epoch=%s revision=%s",
        job.id(),
        job.spec().team(),
        tasks,
        summary(tasksByMachine),
        epoch,
        revision);
  }

  private static String summary(Map<MachineName, Integer> tasksByMachine) {
    List<String> machines = new ArrayList<>();
    for (Map.Entry<MachineName, Integer> placed : tasksByMachine.entrySet()) {
      if (machines.size() == MAX_MACHINES) {
        machines.add("and-" + (tasksByMachine.size() - MAX_MACHINES) + "-more");
        break;
      }
      machines.add(placed.getKey() + ":" + placed.getValue());
    }
    return String.join(",", machines);
  }
}
