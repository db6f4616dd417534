package shorecrank.coordination.shard;

import static shorecrank.protocol.HttpStatus.OK;
import static shorecrank.protocol.HttpStatus.UNAVAILABLE;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Json;
import shorecrank.protocol.WorkerCommandCodec;
import shorecrank.protocol.WorkerMessages.TaskState;
import shorecrank.protocol.WorkerMessages.TaskStatus;
import shorecrank.protocol.WorkerMessages.WorkerCommand;
import shorecrank.protocol.WorkerMessages.WorkerHeartbeat;

/**
 * Replies to workers' heartbeats at once, or after the writes that concern the machine are
 * committed, so that the resulting commands go out in this answer and not in the next.
 */
final class HeartbeatReplies {
  private final StepContext context;
  private final ShardLease lease;
  private final ShardJobs jobs;
  private final CommandPlanner planner;

  /** Machines with a deferred reply. */
  private final Set<Machine> deferred = new LinkedHashSet<>();

  /**
   * Whether a reply was deferred since the last scheduling round, so that no task has been placed
   * yet on the capacity that the heartbeat freed.
   */
  private boolean roundPending;

  HeartbeatReplies(StepContext context, ShardLease lease, ShardJobs jobs, CommandPlanner planner) {
    this.context = context;
    this.lease = lease;
    this.jobs = jobs;
    this.planner = planner;
  }

  /** Refuses a heartbeat without renewing the worker's lease. */
  void refuse(long reply, String reason) {
    context.reply(reply, UNAVAILABLE, Json.error(reason));
  }

  /** Renews the worker's lease and sends all commands to it. */
  void replyWithCommands(long reply, Machine machine) {
    renew(reply, machine, planner.planCommands(machine, false));
  }

  /** Renews the worker's lease without commands, except the stops of cancelled tasks. */
  void renewOnly(long reply, Machine machine, WorkerHeartbeat heartbeat) {
    renew(reply, machine, planner.planCancellationStops(machine, heartbeat));
  }

  private void renew(long reply, Machine machine, List<WorkerCommand> commands) {
    context.reply(
        reply,
        OK,
        WorkerCommandCodec.writeAnswer(
            machine.session().tokens().aboveDirectStarts(lease.epoch()), commands));
  }

  // ---- deferred replies ------------------------------------------------------------------------

  /**
   * Defers a reply until the writes that concern the machine are committed, but no longer than the
   * settings allow.
   */
  void defer(long reply, Machine machine) {
    machine.session().deferReply(reply, context.now().plus(context.settings().replyDeferralMs()));
    deferred.add(machine);
    roundPending = true;
  }

  /** Records that a scheduling round begins, which may place tasks on freed capacity. */
  void beginRound() {
    roundPending = false;
  }

  /** Reports whether a placement on the machine is not committed yet. */
  static boolean hasUncommittedAttempt(Machine machine) {
    for (TaskAttempt attempt : machine.attempts()) {
      if (!attempt.isCommitted()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Sends the deferred replies that need not wait any more or have waited for the longest time
   * allowed.
   */
  void sendDue() {
    sendDeferred(false);
  }

  /** Sends all deferred replies. */
  void sendAll() {
    sendDeferred(true);
  }

  private void sendDeferred(boolean all) {
    if (deferred.isEmpty()) {
      return;
    }
    for (Machine machine : new ArrayList<>(deferred)) {
      boolean settled = isSettled(machine);
      if (all || settled || !context.now().isBefore(machine.session().deferredUntil())) {
        context.count(settled ? "report.parked.settled" : "report.parked.expired");
        deferred.remove(machine);
        long reply = machine.session().removeDeferredReply();
        if (lease.isValid() && !lease.isEnded()) {
          replyWithCommands(reply, machine);
        } else {
          renewOnly(reply, machine, machine.session().lastHeartbeat());
        }
      }
    }
  }

  /**
   * Reports whether no write that concerns the machine is outstanding: no placement on it is
   * uncommitted, and no exit on it is in a write in flight.
   */
  private boolean isSettled(Machine machine) {
    if (roundPending || hasUncommittedAttempt(machine)) {
      return false;
    }
    for (TaskStatus status : machine.session().lastHeartbeat().tasks()) {
      Job job = status.state() == TaskState.EXITED ? jobs.find(status.attemptId().job()) : null;
      if (job != null
          && job.record().isInFlight()
          && job.tasks().hasPendingExit(status.attemptId())) {
        return false;
      }
    }
    return true;
  }

  /**
   * Refuses the machine's deferred reply, if it has one, because a later heartbeat has arrived or
   * the machine was removed.
   */
  void refuseDeferred(Machine machine) {
    if (machine.session().hasDeferredReply()) {
      deferred.remove(machine);
      refuse(machine.session().refuseDeferredReply(), "superseded by a later report");
    }
  }
}
