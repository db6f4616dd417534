package shorecrank.coordination.shard;

import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.model.WorkerSession;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.HeartbeatMessages.MachineInfo;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.WorkerMessages.WorkerHeartbeat;

/**
 * Handles workers' heartbeats: refuses late ones, makes workers confirm the shard's epoch, records
 * their liveness, and has the listed tasks reconciled and the heartbeat answered.
 */
final class HeartbeatHandler {
  private final StepContext context;
  private final ShardLease lease;
  private final ShardRecovery recovery;
  private final MachineRegistry machines;
  private final HeartbeatReconciler reconciler;
  private final HeartbeatReplies replies;

  HeartbeatHandler(
      StepContext context,
      ShardLease lease,
      ShardRecovery recovery,
      MachineRegistry machines,
      HeartbeatReconciler reconciler,
      HeartbeatReplies replies) {
    this.context = context;
    this.lease = lease;
    this.recovery = recovery;
    this.machines = machines;
    this.reconciler = reconciler;
    this.replies = replies;
  }

  /**
   * Handles a heartbeat and answers it, now or after the next commit.
   *
   * @param reply the number of the request to answer
   * @param mayCommand whether the worker may be commanded; if not, only its lease is renewed
   */
  void handle(long reply, WorkerHeartbeat heartbeat, boolean mayCommand) {
    Machine machine = machines.machine(heartbeat.machine());
    machines.initInfo(
        machine,
        new MachineInfo(heartbeat.machine(), heartbeat.type(), heartbeat.zone(), heartbeat.spot()));
    WorkerSession session = machine.session();
    if (session.isStale(heartbeat) || heartbeat.token().epoch().isAbove(lease.epoch())) {
      context.count("report.late");
      replies.refuse(reply, "not entitled, or the report is late");
      return;
    }
    session.setAddress(heartbeat.address());
    if (!machines.isConfirmedBy(machine, heartbeat, lease.firstEpoch())) {
      handleUnconfirmed(machine, heartbeat);
      replies.renewOnly(reply, machine, heartbeat);
      return;
    }
    boolean isConsecutive = handleConfirmed(machine, heartbeat);
    if (!recovery.isReady()) {
      context.count("report.renewed.recovering");
      replies.renewOnly(reply, machine, heartbeat);
      return;
    }
    boolean freed = reconcile(machine, heartbeat, isConsecutive);
    if (!mayCommand) {
      context.count("report.renewed.no_lease");
      replies.renewOnly(reply, machine, heartbeat);
    } else if ((freed || HeartbeatReplies.hasUncommittedAttempt(machine))
        && context.settings().replyDeferralMs() > 0) {
      // The deferred answer can start tasks on the capacity that this heartbeat has freed, and
      // attempts whose placement is being committed. They would otherwise wait for the machine's
      // next heartbeat.
      replies.defer(reply, machine);
    } else {
      replies.replyWithCommands(reply, machine);
    }
  }

  /**
   * Handles a heartbeat that does not show an epoch of this ownership. Either the worker has not
   * seen the epoch, or the heartbeat is a delayed copy from before, which may arrive as late as one
   * lease after it was sent. The answer carries the current token; only a heartbeat that shows it
   * proves liveness.
   */
  private void handleUnconfirmed(Machine machine, WorkerHeartbeat heartbeat) {
    context.count("report.unconfirmed");
    machine.session().recordUnconfirmed(heartbeat, context.now());
    // Even a delayed copy proves that its incarnation has begun, so all earlier ones have ended.
    machines.abandonEarlierIncarnations(machine);
  }

  /**
   * Records that the worker is alive.
   *
   * @return whether the worker has sent its heartbeats to no other controller since its last one to
   *     this owner
   */
  private boolean handleConfirmed(Machine machine, WorkerHeartbeat heartbeat) {
    MonotonicTime now = context.now();
    WorkerSession session = machine.session();
    boolean isConsecutive = session.isConsecutive(heartbeat);
    replies.refuseDeferred(machine);
    if (session.isNewIncarnation(heartbeat)) {
      machine.clearImages();
    }
    if (!session.hasConfirmedHeartbeat()) {
      machine.setIdleSince(now);
    }
    session.recordConfirmed(heartbeat, now);
    context.count("report.confirmed");
    return isConsecutive;
  }

  private boolean reconcile(Machine machine, WorkerHeartbeat heartbeat, boolean isConsecutive) {
    machine.setPreemptionNoticed(heartbeat.hasPreemptionNotice());
    boolean freed = reconciler.reconcile(machine, heartbeat);
    recordResponsiveness(machine, isConsecutive);
    machine.session().recordReconciled(heartbeat);
    if (!machine.isEmpty() || machine.session().listedTasks() > 0) {
      machine.setIdleSince(context.now());
    }
    return freed;
  }

  private void logMissedAnswer(Machine machine, boolean isConsecutive) {
    WorkerSession session = machine.session();
    context.count("machine.answer_missed");
    context.infoLimited(
        "machine.answer_missed",
        "machine=%s incarnation=%d heartbeat=%d sign=%s",
        machine.name(),
        session.incarnation().value(),
        session.sequence(),
        isConsecutive ? "start_not_listed" : "gap_in_numbers");
  }

  /**
   * Records whether the machine receives the answers to its heartbeats. A worker that receives a
   * 200 sends its next heartbeat here, under the next number, and lists the tasks that the answer
   * started; a worker that does not receive it turns to other controllers, which leaves a gap in
   * the numbers.
   */
  private void recordResponsiveness(Machine machine, boolean isConsecutive) {
    boolean answerReceived = isConsecutive;
    boolean wasUnresponsive = machine.session().isUnresponsive();
    for (TaskAttempt attempt : machine.attempts()) {
      if (attempt.clearStartInLastAnswer()) {
        answerReceived &= attempt.isListed();
      }
    }
    switch (machine.session().recordAnswerReceived(answerReceived, context.now())) {
      case REGAINED -> context.info("machine.responsive machine=%s", machine.name());
      case LOST -> {
        context.info("machine.unresponsive machine=%s", machine.name());
        context.count("machine.deaf");
      }
      case UNCHANGED -> {
        if (!answerReceived && !wasUnresponsive) {
          logMissedAnswer(machine, isConsecutive);
        }
      }
    }
  }
}
