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
    double heard = 0;
    double commanded = 0;
    double pulling = 0;
    double running = 0;
    double taken = 0;
    for (Machine machine : shard.machines().values()) {
      if (machine.type() == null || !shard.liveness().isFresh(machine)) {
        continue;
      }
      heard += machine.type().cpus();
      taken += machine.usedCpus();
      for (TaskAttempt attempt : machine.attempts()) {
        double cpus = attempt.job().spec().cpus();
        if (attempt.state() == null) {
          commanded += cpus;
        } else if (attempt.state() == TaskState.WAITING_FOR_IMAGE) {
          pulling += cpus;
        } else {
          running += cpus;
        }
      }
    }
    double waiting = 0;
    for (Job job : shard.jobs().values()) {
      waiting += job.queuedTaskCount() * job.spec().cpus();
    }
    context.gauge("cpus.heard", heard);
    context.gauge("cpus.taken", taken);
    context.gauge("cpus.commanded", commanded);
    context.gauge("cpus.pulling", pulling);
    context.gauge("cpus.running", running);
    context.gauge("cpus.waited_for", waiting);
  }

  /** Sets the usage gauges of each team with a limit. */
  static void updateTeams(StepContext context, List<TeamUsage> usages) {
    for (TeamUsage use : usages) {
      String team = use.team().name();
      context.gauge("team.cpus.placed." + team, use.cpus());
      context.gauge("team.gpus.placed." + team, use.gpus());
      context.gauge("team.cpus.withdrawn." + team, use.withdrawnCpus());
      context.gauge("team.gpus.withdrawn." + team, use.withdrawnGpus());
    }
  }
}
