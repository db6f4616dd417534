package shorecrank.coordination.shard;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.shard.ShardOwner.Write;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.FencingToken;
import shorecrank.protocol.WorkerMessages;
import shorecrank.protocol.WorkerMessages.Start;
import shorecrank.protocol.WorkerMessages.WorkerCommand;

/** Starts that go straight to their machines, without waiting for the next report. */
final class DirectCommandSender {
  /** A machine that reports so soon is told then. */
  private static final int SOON_MS = 100;

  /** So long a worker may take to answer a command; what is not answered may yet be carried out. */
  private static final int DIRECT_MS = 1000;

  private final StepContext context;
  private final ShardOwner owner;

  /** Commands that went straight to workers and are not answered. */
  private int directOut;

  DirectCommandSender(StepContext context, ShardOwner owner) {
    this.context = context;
    this.owner = owner;
  }

  /**
   * A start need not wait for its machine's next report. What goes straight to a worker may be held
   * back or come twice, so it is under a token of its own: the next answer carries a higher one,
   * and until the worker has shown that, nothing is concluded from what it does not list, and what
   * it has done is not reaped.
   */
  void send(List<Write> batch) {
    Set<Machine> to = new LinkedHashSet<>();
    for (Write w : batch) {
      if (w.last() || !owner.owns(w.job())) {
        continue;
      }
      for (TaskAttempt l : w.job().live.values()) {
        if (l.writeSequence() == w.seq() && !l.isCommanded() && l.isCommitted()) {
          to.add(l.machine());
        }
      }
    }
    for (Machine h : to) {
      if (!owner.valid()
          || directOut >= maxDirect()
          || !h.session().isReconciled()
          || !h.session().acceptsDirectCommands(owner.epoch())
          || h.session().secondsToNextAnswer(context.now(), context.config.workers().reportS())
                  * 1000
              < SOON_MS) {
        continue;
      }
      List<WorkerCommand> orders = owner.orders(h, true);
      if (orders.stream().noneMatch(Start.class::isInstance)) {
        continue;
      }
      FencingToken token = h.session().tokens().current(owner.epoch());
      for (WorkerCommand o : orders) {
        if (o instanceof Start) {
          h.session().tokens().directStartSent(o.run(), token);
        }
      }
      directOut++;
      h.session().tokens().directCommandSent();
      context.count("orders.direct");
      context.worker(
          h.session().address(),
          WorkerMessages.ORDERS,
          WorkerMessages.direct(token, h.session().incarnation(), orders),
          DIRECT_MS,
          (status, body) -> {
            directOut--;
            h.session().tokens().directCommandAnswered();
            if (status != 200) {
              context.count("orders.direct.failed");
            }
          });
    }
  }

  /** Connections to workers come out of what is left beside those of users, workers and peers. */
  private int maxDirect() {
    return Math.max(4, context.config.limits().sockets() / 20);
  }
}
