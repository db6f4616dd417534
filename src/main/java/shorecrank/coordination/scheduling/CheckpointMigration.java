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
 * Moves checkpointed attempts off draining machines.
 *
 * <p>Such machines run empty slowly, each held by its longest task. Tasks that can save their
 * progress move to where there is room, if their machine goes back so much sooner that it is worth
 * the checkpoint, the new start and perhaps another fetch of the image.
 */
final class CheckpointMigration {
  /** Of the room there is, so much may be taken by tasks that move; the rest is for new ones. */
  private static final double ROOM_SHARE = 0.5;

  /** So many machine seconds must be won by a move for each that it costs. */
  private static final double LEAST_GAIN = 2;

  private static final Comparator<Machine> DEAREST_FIRST =
      Comparator.<Machine>comparingDouble(machine -> -Prices.perCpu(machine))
          .thenComparing(Comparator.comparingDouble(Machine::usedCpus))
          .thenComparing(Machine::name);

  /** What a move of all checkpointed attempts off one machine takes and wins. */
  private static final class Move {
    final List<TaskAttempt> attempts = new ArrayList<>();

    /** Room that the attempts need elsewhere. */
    double cpus;

    /** Machine seconds spent on checkpoints, fetches and starts. */
    double costS;

    /** Seconds until the machine is empty with the move. */
    double emptyAfterMoveS;

    /** Seconds until the last of the attempts would end by itself. */
    double emptyWithoutMoveS;

    boolean isWorthwhile(double roomCpus) {
      return cpus <= roomCpus
          && emptyWithoutMoveS - emptyAfterMoveS > LEAST_GAIN * costS
          && !attempts.isEmpty();
    }
  }

  private final StepContext context;
  private final ShardView shard;

  CheckpointMigration(StepContext context, ShardView shard) {
    this.context = context;
    this.shard = shard;
  }

  /** Stops checkpointed attempts where that is worthwhile; sorts the machines, dearest first. */
  void moveOff(List<Machine> machines) {
    double roomCpus = roomCpus();
    machines.sort(DEAREST_FIRST);
    for (Machine machine : machines) {
      if (!machine.isDraining()
          || machine.isEmpty()
          || !shard.liveness().isFresh(machine)
          || machine.session().isUnresponsive()) {
        continue;
      }
      Move move = plan(machine);
      if (move.isWorthwhile(roomCpus)) {
        roomCpus -= move.cpus;
        move.attempts.forEach(TaskAttempt::revoke);
        context.count("task.moved", move.attempts.size());
      }
    }
  }

  /** Free processors that attempts may move to, in processors; negative if jobs need them all. */
  private double roomCpus() {
    double cpus = 0;
    for (Machine machine : shard.machines().values()) {
      cpus += shard.isUsable(machine) ? machine.freeCpus() : 0;
    }
    for (Job job : shard.jobs().values()) {
      cpus -= job.queuedTaskCount() * job.spec().cpus();
    }
    return cpus * ROOM_SHARE;
  }

  private Move plan(Machine machine) {
    Move move = new Move();
    for (TaskAttempt attempt : machine.attempts()) {
      JobSpec spec = attempt.job().spec();
      double remainingS = attempt.remainingSeconds(context.now());
      double heartbeatS = context.config().workers().reportS();
      double moveS = spec.checkpointDurationS() + machine.fullFetchSeconds(spec) / 2 + heartbeatS;
      if (attempt.canMoveByCheckpoint(context.now())) {
        move.attempts.add(attempt);
        move.cpus += spec.cpus();
        move.costS += spec.cpus() * moveS / machine.type().cpus();
        move.emptyWithoutMoveS = Math.max(move.emptyWithoutMoveS, remainingS);
        move.emptyAfterMoveS = Math.max(move.emptyAfterMoveS, moveS);
      } else {
        move.emptyAfterMoveS = Math.max(move.emptyAfterMoveS, remainingS);
      }
    }
    return move;
  }
}
