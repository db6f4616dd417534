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

/** Sends starts straight to their machines, without waiting for the next heartbeat. */
final class DirectCommandSender {
  /** A machine whose heartbeat is due so soon is told in the answer. */
  private static final int MIN_TIME_TO_ANSWER_MS = 100;

  /** So long a worker may take to answer; what is not answered may yet be carried out. */
  private static final int TIMEOUT_MS = 1000;

  private static final int MIN_CONNECTIONS = 4;

  /** The part of all sockets that direct commands may use, as a divisor. */
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
   * Sends the starts that committed writes have placed. A start need not wait for its machine's
   * next heartbeat. What goes straight to a worker may be held back or come twice, so it is under a
   * token of its own: the next answer carries a higher one, and until the worker has shown that,
   * nothing is concluded from what it does not list, and what it has done is not reaped.
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
        && session.secondsToNextAnswer(context.now(), context.config().workers().reportS())
                * MS_PER_S
            >= MIN_TIME_TO_ANSWER_MS;
  }

  private void send(Machine machine, List<WorkerCommand> commands) {
    WorkerSession session = machine.session();
    CommandTokens tokens = session.tokens();
    FencingToken token = tokens.current(lease.epoch());
    for (WorkerCommand command : commands) {
      if (command instanceof Start) {
        tokens.directStartSent(command.attemptId(), token);
      }
    }
    unanswered++;
    tokens.directCommandSent();
    context.count("orders.direct");
    context.callWorker(
        session.address(),
        WorkerMessages.DIRECT_COMMANDS_PATH,
        WorkerCommandCodec.writeDirect(token, session.incarnation(), commands),
        TIMEOUT_MS,
        (status, body) -> {
          unanswered--;
          tokens.directCommandAnswered();
          if (status != OK) {
            context.count("orders.direct.failed");
          }
        });
  }

  /** Connections to workers come out of what is left beside those of users, workers and peers. */
  private int maxUnanswered() {
    return Math.max(MIN_CONNECTIONS, context.config().limits().sockets() / SOCKET_DIVISOR);
  }
}
