package shorecrank.coordination.shard;

import java.util.HashMap;
import java.util.Map;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.WorkerSession;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;

/**
 * The sessions with the workers of machines that are no longer assigned to the shard. Such a
 * machine may be assigned again under the same epoch. Its worker then rejects tokens below those
 * that it has seen, and late copies of direct commands must stay below the tokens of later answers.
 */
final class RemovedSessions {
  private static final double MS_PER_S = 1000;

  /**
   * A session is kept for this many leases. Without answers, the worker's lease expires and with it
   * all commands that were sent to its incarnation.
   */
  private static final double RETENTION_LEASES = 3;

  /** A session and when its machine was removed. */
  private record RemovedSession(WorkerSession session, MonotonicTime removedAt) {}

  private final StepContext context;
  private final Map<MachineName, RemovedSession> sessions = new HashMap<>();

  RemovedSessions(StepContext context) {
    this.context = context;
  }

  /** Keeps the session with the worker of a machine that is removed. */
  void keep(Machine machine) {
    if (machine.session().hasArrived()) {
      sessions.put(machine.name(), new RemovedSession(machine.session(), context.now()));
    }
  }

  /** Removes and returns the session with a machine's worker; a new one if none was kept. */
  WorkerSession take(MachineName name) {
    RemovedSession kept = sessions.remove(name);
    return kept == null ? new WorkerSession() : kept.session;
  }

  /** Removes the session with the worker of a machine that is gone. */
  void remove(MachineName name) {
    sessions.remove(name);
  }

  /** Removes the sessions that were kept for long enough. */
  void removeExpired() {
    double retentionMs = RETENTION_LEASES * context.config().workers().leaseS() * MS_PER_S;
    MonotonicTime now = context.now();
    sessions.values().removeIf(kept -> now.since(kept.removedAt) > retentionMs);
  }
}
