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
 * Brings a worker's heartbeat to the owner of its machine's shard: to the owner here, elsewhere by
 * a redirect, or held until this process knows where it belongs.
 */
final class WorkerHeartbeatRouter {
  /** So long after its start a process may not know yet where heartbeats belong. */
  private static final int STARTUP_MS = 8000;

  private static final int MAX_HOLD_MS = 2500;

  /** An owner that has heard no other controller for this long is alone. */
  private static final int ISOLATED_AFTER_MS = 4000;

  private final StepContext context;
  private final Election election;
  private final OwnerTable owners;
  private final OwnedShards shards;
  private final MachineAssignments assignments;
  private final ForeignWorkers foreignWorkers;
  private final HeartbeatExchange heartbeats;
  private final List<HeldHeartbeat> held = new ArrayList<>();

  /** A heartbeat that waits until this process knows where it belongs. */
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

  /** Takes a worker's heartbeat. */
  void receive(Input.Request request) {
    WorkerHeartbeat heartbeat;
    try {
      heartbeat = WorkerHeartbeatCodec.read(Json.parse(request.body()));
    } catch (MalformedMessageException malformed) {
      context.reportRefusal("report.malformed", "worker.heartbeat.malformed");
      context.reply(request.reply(), BAD_REQUEST, Json.error("malformed report"));
      return;
    }
    route(new HeldHeartbeat(request.reply(), heartbeat, context.now()));
  }

  /** Routes again what is held; what still can't be routed is held on. */
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
      // A process that has just begun will know in a moment. A worker that is sent away comes back
      // after a second at the earliest, and its lease may be short: after the end of all
      // controllers most of the tasks would be lost by that.
      held.add(received);
    } else if (assignment == null) {
      redirectUnassigned(received);
    } else {
      ShardOwner shardOwner = shards.find(assignment.shard());
      if (shardOwner != null) {
        deliver(received, shardOwner);
      } else {
        foreignWorkers.addMisrouted(heartbeat.machine());
        redirect(received, owners.findOther(assignment.shard()).orElse(null));
      }
    }
  }

  /** A held heartbeat keeps its connection, and there are no more than sockets. */
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

  /** Sends the worker elsewhere; null if it is not known where. */
  private void redirect(HeldHeartbeat received, ControllerName to) {
    context.reply(received.reply, MISDIRECTED, WorkerCommandCodec.writeRedirect(to));
  }

  private void deliver(HeldHeartbeat received, ShardOwner shardOwner) {
    boolean isIsolated = context.msSincePeerContact() > ISOLATED_AFTER_MS;
    if (shardOwner.isLeaseValid() || shardOwner.isInGrace(isIsolated)) {
      if (shardOwner.knowsRecentCancellations()) {
        shardOwner.handleHeartbeat(received.reply, received.heartbeat, shardOwner.isLeaseValid());
        return;
      }
      if (shardOwner.cancellationsKnownUpTo() == MonotonicTime.NEVER && canHold(received)) {
        // A new owner will have read the records in a moment.
        held.add(received);
        return;
      }
      context.count("report.uninformed");
    }
    context.reply(received.reply, UNAVAILABLE, Json.error("not entitled now"));
  }
}
