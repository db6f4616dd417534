package shorecrank.coordination;

import static shorecrank.protocol.HttpStatus.BAD_REQUEST;
import static shorecrank.protocol.HttpStatus.MISDIRECTED;
import static shorecrank.protocol.HttpStatus.UNAVAILABLE;

import java.util.ArrayList;
import java.util.List;
import shorecrank.coordination.leader.Election;
import shorecrank.coordination.shard.ShardOwner;
import shorecrank.coordination.step.Input;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.HeartbeatMessages.MachineAssignment;
import shorecrank.protocol.HeartbeatMessages.MachineInfo;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Json;
import shorecrank.protocol.MalformedMessageException;
import shorecrank.protocol.WorkerCommandCodec;
import shorecrank.protocol.WorkerHeartbeatCodec;
import shorecrank.protocol.WorkerMessages.WorkerHeartbeat;

/**
 * Routes workers' heartbeats to the owner of the machine's shard. A heartbeat whose owner runs in
 * this process is delivered, one that belongs to another controller is answered with a redirect,
 * and one whose destination is not known yet may be held for a short time.
 */
final class WorkerHeartbeatRouter {
  /** How long after its start a process holds heartbeats whose destination it does not know yet. */
  private static final int STARTUP_MS = 8000;

  private static final int MAX_HOLD_MS = 2500;

  /**
   * How long without a message from any other controller until this controller is isolated. The
   * shard owners of an isolated controller have a shorter grace period after their leases expire.
   */
  private static final int ISOLATED_AFTER_MS = 4000;

  private final StepContext context;
  private final Election election;
  private final OwnerTable owners;
  private final OwnedShards shards;
  private final MachineAssignments assignments;
  private final ForeignWorkers foreignWorkers;
  private final HeartbeatExchange heartbeats;
  private final List<HeldHeartbeat> held = new ArrayList<>();

  /** A worker's heartbeat that has not been answered yet. */
  private record HeldHeartbeat(long reply, WorkerHeartbeat heartbeat, MonotonicTime receivedAt) {}

  WorkerHeartbeatRouter(
      StepContext context,
      Election election,
      HeartbeatExchange heartbeats,
      HeartbeatExchange.SharedState state) {
    this.context = context;
    this.election = election;
    this.heartbeats = heartbeats;
    this.owners = state.owners();
    this.shards = state.shards();
    this.assignments = state.assignments();
    this.foreignWorkers = state.foreignWorkers();
  }

  /** Routes a worker's heartbeat; a malformed one is rejected. */
  void receive(Input.Request request) {
    WorkerHeartbeat heartbeat;
    try {
      heartbeat =
          WorkerHeartbeatCodec.read(Json.readFields(request.body(), WorkerHeartbeatCodec.FIELDS));
    } catch (MalformedMessageException malformed) {
      context.reportError(
          "report.malformed",
          "worker.heartbeat.malformed field=%s bytes=%d reason=\"%s\""
              .formatted(malformed.field(), request.body().length, malformed.reason()));
      context.reply(request.reply(), BAD_REQUEST, Json.error("malformed report"));
      return;
    }
    route(new HeldHeartbeat(request.reply(), heartbeat, context.now()));
  }

  /** Retries to route the held heartbeats; those that still cannot be routed stay held. */
  void retryHeld() {
    if (held.isEmpty()) {
      return;
    }
    List<HeldHeartbeat> all = new ArrayList<>(held);
    held.clear();
    all.forEach(this::route);
  }

  private void route(HeldHeartbeat received) {
    WorkerHeartbeat heartbeat = received.heartbeat;
    MachineAssignment assignment = assignments.find(heartbeat.machine());
    boolean isDestinationUnknown =
        assignment == null ? !owners.hasLeaderContact() : owners.find(assignment.shard()) == null;
    if (isDestinationUnknown
        && context.now().since(context.startedAt()) < STARTUP_MS
        && canHold(received)) {
      // The leader's first answer will name the destination soon. A redirected worker retries after
      // a second at the earliest, and its lease may expire before that. After a restart of all
      // controllers, redirects would thus end most tasks.
      held.add(received);
    } else if (assignment == null) {
      redirectUnassigned(received);
    } else {
      ShardOwner shardOwner = shards.find(assignment.shard());
      if (shardOwner != null) {
        deliver(received, shardOwner);
      } else {
        foreignWorkers.addMisrouted(heartbeat.machine());
        context.count("report.redirected");
        redirect(received, owners.findOther(assignment.shard()).orElse(null));
      }
    }
  }

  /**
   * Reports whether the heartbeat may be held. Each held heartbeat keeps its connection open, so no
   * more of them are held than the process may have sockets.
   */
  private boolean canHold(HeldHeartbeat received) {
    return context.now().since(received.receivedAt) < MAX_HOLD_MS
        && held.size() < context.config().limits().sockets();
  }

  private void redirectUnassigned(HeldHeartbeat received) {
    WorkerHeartbeat heartbeat = received.heartbeat;
    foreignWorkers.addUnassigned(
        new MachineInfo(heartbeat.machine(), heartbeat.type(), heartbeat.zone(), heartbeat.spot()));
    heartbeats.requestSoon();
    ControllerName leader = election.leader();
    redirect(received, leader == null || leader.equals(context.config().label()) ? null : leader);
  }

  /**
   * Answers the heartbeat with a redirect.
   *
   * @param to the controller to send heartbeats to; null if it is not known
   */
  private void redirect(HeldHeartbeat received, ControllerName to) {
    context.reply(received.reply, MISDIRECTED, WorkerCommandCodec.writeRedirect(to));
  }

  private void deliver(HeldHeartbeat received, ShardOwner shardOwner) {
    context.count("report.arrived");
    boolean isIsolated = context.msSincePeerContact() > ISOLATED_AFTER_MS;
    if (shardOwner.isLeaseValid() || shardOwner.isInGrace(isIsolated)) {
      if (shardOwner.knowsRecentCancellations()) {
        shardOwner.handleHeartbeat(received.reply, received.heartbeat, shardOwner.isLeaseValid());
        return;
      }
      if (shardOwner.cancellationsShownUpTo() == MonotonicTime.NEVER && canHold(received)) {
        // A new owner has not read the cancellations yet; it does so while it reads the records.
        held.add(received);
        return;
      }
      context.count("report.uninformed");
    }
    context.reply(received.reply, UNAVAILABLE, Json.error("not entitled now"));
  }
}
