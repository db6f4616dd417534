package shorecrank.coordination.shard;

import java.util.List;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.model.TeamUsage;
import shorecrank.coordination.scheduling.ShardView;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.WorkerMessages.TaskState;

/**
 * Gauges of how a shard's processors are used, which show where capacity is lost while jobs wait.
 */
final class UtilizationGauges {
  private UtilizationGauges() {}

  /** Sets the gauges that count the shard's processors by what they are used for. */
  static void update(StepContext context, ShardView shard) {
    double freshCpus = 0;
    double commandedCpus = 0;
    double fetchingCpus = 0;
    double runningCpus = 0;
    double usedCpus = 0;
    for (Machine machine : shard.machines().values()) {
      if (machine.type() == null || !shard.liveness().isFresh(machine)) {
        continue;
      }
      freshCpus += machine.type().cpus();
      usedCpus += machine.usedCpus();
      for (TaskAttempt attempt : machine.attempts()) {
        double cpus = attempt.job().spec().cpus();
        if (attempt.state() == null) {
          commandedCpus += cpus;
        } else if (attempt.state() == TaskState.WAITING_FOR_IMAGE) {
          fetchingCpus += cpus;
        } else {
          runningCpus += cpus;
        }
      }
    }
    double queuedCpus = 0;
    for (Job job : shard.jobs().values()) {
      queuedCpus += job.queuedTaskCount() * job.spec().cpus();
    }
    context.gauge("cpus.heard", freshCpus);
    context.gauge("cpus.taken", usedCpus);
    context.gauge("cpus.commanded", commandedCpus);
    context.gauge("cpus.pulling", fetchingCpus);
    context.gauge("cpus.running", runningCpus);
    context.gauge("cpus.waited_for", queuedCpus);
  }

  /** Sets the usage gauges of each team with a limit. */
  static void updateTeams(StepContext context, List<TeamUsage> usages) {
    for (TeamUsage usage : usages) {
      String team = usage.team().name();
      context.gauge("team.cpus.placed." + team, usage.cpus());
      context.gauge("team.gpus.placed." + team, usage.gpus());
      context.gauge("team.cpus.withdrawn." + team, usage.withdrawnCpus());
      context.gauge("team.gpus.withdrawn." + team, usage.withdrawnGpus());
    }
  }
}
