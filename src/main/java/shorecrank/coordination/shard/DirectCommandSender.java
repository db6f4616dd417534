package shorecrank.coordination.shard;

import static shorecrank.protocol.HttpStatus.OK;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import shorecrank.coordination.model.CommandTokens;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.model.WorkerSession;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.FencingToken;
import shorecrank.protocol.WorkerCommandCodec;
import shorecrank.protocol.WorkerMessages;
import shorecrank.protocol.WorkerMessages.Start;
import shorecrank.protocol.WorkerMessages.WorkerCommand;

/**
 * Sends starts in direct commands, so that they need not wait for the machines' next heartbeats.
 */
final class DirectCommandSender {
  /**
   * A machine whose next heartbeat is due sooner than this gets its commands in the answer to that
   * heartbeat.
   */
  private static final int MIN_TIME_TO_ANSWER_MS = 100;

  /** Timeout of a direct command. The worker may still execute one that it has not answered. */
  private static final int TIMEOUT_MS = 1000;

  /** Lower bound of the limit on unanswered direct commands. */
  private static final int MIN_CONNECTIONS = 4;

  /**
   * The limit on unanswered direct commands is the configured number of sockets divided by this.
   */
  private static final int SOCKET_DIVISOR = 20;

  private static final int MS_PER_S = 1000;

  private final StepContext context;
  private final ShardLease lease;
  private final ShardJobs jobs;
  private final CommandPlanner planner;
  private int unanswered;

  DirectCommandSender(
      StepContext context, ShardLease lease, ShardJobs jobs, CommandPlanner planner) {
    this.context = context;
    this.lease = lease;
    this.jobs = jobs;
    this.planner = planner;
  }

  /**
   * Sends the start commands for the attempts that committed writes have placed.
   *
   * <p>A direct command may be delayed or duplicated, so it is sent under a fencing token of its
   * own, and the next answer carries a higher one. Until the worker has shown the higher token, a
   * missing entry in its heartbeat proves nothing about a started attempt, and the attempt's exit
   * is not reaped.
   *
   * @param committed the writes of one committed transaction
   */
  void sendStarts(List<RecordWrite> committed) {
    for (Machine machine : machinesToStartOn(committed)) {
      if (mayCommand(machine)) {
        List<WorkerCommand> commands = planner.planCommands(machine, true);
        if (commands.stream().anyMatch(Start.class::isInstance)) {
          send(machine, commands);
        }
      }
    }
  }

  private Set<Machine> machinesToStartOn(List<RecordWrite> committed) {
    Set<Machine> machines = new LinkedHashSet<>();
    for (RecordWrite write : committed) {
      if (write.isFinal() || !jobs.isCurrent(write.job())) {
        continue;
      }
      for (TaskAttempt attempt : write.job().tasks().attempts()) {
        if (attempt.writeSequence() == write.sequence()
            && !attempt.isStartSent()
            && attempt.isCommitted()) {
          machines.add(attempt.machine());
        }
      }
    }
    return machines;
  }

  private boolean mayCommand(Machine machine) {
    WorkerSession session = machine.session();
    return lease.isValid()
        && unanswered < maxUnanswered()
        && session.isReconciled()
        && session.acceptsDirectCommands(lease.epoch())
        && session.secondsToNextAnswer(
                    context.now(), context.config().workers().heartbeatIntervalS())
                * MS_PER_S
            >= MIN_TIME_TO_ANSWER_MS;
  }

  private void send(Machine machine, List<WorkerCommand> commands) {
    WorkerSession session = machine.session();
    CommandTokens tokens = session.tokens();
    FencingToken token = tokens.current(lease.epoch());
    for (WorkerCommand command : commands) {
      if (command instanceof Start) {
        tokens.recordDirectStartSent(command.attemptId(), token);
      }
    }
    unanswered++;
    tokens.recordDirectCommandSent();
    context.count("orders.direct");
    context.callWorker(
        session.address(),
        WorkerMessages.DIRECT_COMMANDS_PATH,
        WorkerCommandCodec.writeDirect(token, session.incarnation(), commands),
        TIMEOUT_MS,
        (status, body) -> {
          unanswered--;
          tokens.recordDirectCommandAnswered();
          if (status != OK) {
            context.count("orders.direct.failed");
          }
        });
  }

  /**
   * Returns how many direct commands may be unanswered at once. They share the sockets that users,
   * workers' heartbeats and peers leave free.
   */
  private int maxUnanswered() {
    return Math.max(MIN_CONNECTIONS, context.config().limits().sockets() / SOCKET_DIVISOR);
  }
}
