package shorecrank.coordination.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.JobSpec;

/**
 * Moves attempts of tasks with checkpoints off draining machines.
 *
 * <p>A draining machine can only be returned once its longest task has ended. Tasks that can save
 * their progress are stopped and placed elsewhere if the machine is then returned sooner by more
 * than the checkpoints, restarts and image fetches cost.
 */
final class CheckpointMigration {
  /** The fraction of the free processors that moved tasks may take; new tasks get the rest. */
  private static final double FREE_CPUS_FRACTION = 0.5;

  /** The machine seconds that must be saved for each machine second that the migration costs. */
  private static final double MIN_GAIN_RATIO = 2;

  private static final Comparator<Machine> MOST_EXPENSIVE_FIRST =
      Comparator.<Machine>comparingDouble(machine -> -Prices.perCpu(machine))
          .thenComparing(Comparator.comparingDouble(Machine::usedCpus))
          .thenComparing(Machine::name);

  /** The migration of all movable attempts off one machine, with its cost and its gain. */
  private static final class Plan {
    final List<TaskAttempt> attempts = new ArrayList<>();

    /** Processors that the attempts need on other machines. */
    double cpus;

    /** Machine seconds spent on checkpoints, image fetches and restarts. */
    double costS;

    /** Seconds until the machine is empty if the attempts move. */
    double emptyWithMoveS;

    /** Seconds until the last of the movable attempts ends if none of them moves. */
    double emptyWithoutMoveS;

    boolean isWorthwhile(double availableCpus) {
      return cpus <= availableCpus
          && emptyWithoutMoveS - emptyWithMoveS > MIN_GAIN_RATIO * costS
          && !attempts.isEmpty();
    }
  }

  private final StepContext context;
  private final ShardView shard;

  CheckpointMigration(StepContext context, ShardView shard) {
    this.context = context;
    this.shard = shard;
  }

  /**
   * Revokes attempts on draining machines where their migration is worthwhile.
   *
   * @param machines the machines to consider; sorted by this method, the most expensive first
   */
  void migrate(List<Machine> machines) {
    double availableCpus = availableCpus();
    machines.sort(MOST_EXPENSIVE_FIRST);
    for (Machine machine : machines) {
      if (!machine.isDraining()
          || machine.isEmpty()
          || !shard.liveness().isFresh(machine)
          || machine.session().isUnresponsive()) {
        continue;
      }
      Plan plan = plan(machine);
      if (plan.isWorthwhile(availableCpus)) {
        availableCpus -= plan.cpus;
        plan.attempts.forEach(TaskAttempt::revoke);
        context.count("task.moved", plan.attempts.size());
      }
    }
  }

  /**
   * Returns the processors that moved attempts may take; negative if queued tasks need more than
   * are free.
   */
  private double availableCpus() {
    double cpus = 0;
    for (Machine machine : shard.machines().values()) {
      cpus += shard.isUsable(machine) ? machine.freeCpus() : 0;
    }
    for (Job job : shard.jobs().values()) {
      cpus -= job.queuedTaskCount() * job.spec().cpus();
    }
    return cpus * FREE_CPUS_FRACTION;
  }

  private Plan plan(Machine machine) {
    Plan plan = new Plan();
    for (TaskAttempt attempt : machine.attempts()) {
      JobSpec spec = attempt.job().spec();
      double remainingS = attempt.remainingSeconds(context.now());
      double heartbeatS = context.config().workers().heartbeatIntervalS();
      double moveS = spec.checkpointDurationS() + machine.fullFetchSeconds(spec) / 2 + heartbeatS;
      if (attempt.canMoveByCheckpoint(context.now())) {
        plan.attempts.add(attempt);
        plan.cpus += spec.cpus();
        plan.costS += spec.cpus() * moveS / machine.type().cpus();
        plan.emptyWithoutMoveS = Math.max(plan.emptyWithoutMoveS, remainingS);
        plan.emptyWithMoveS = Math.max(plan.emptyWithMoveS, moveS);
      } else {
        plan.emptyWithMoveS = Math.max(plan.emptyWithMoveS, remainingS);
      }
    }
    return plan;
  }
}
