package shorecrank.coordination;

import java.util.List;
import shorecrank.coordination.leader.Election;
import shorecrank.coordination.leader.Leader;
import shorecrank.coordination.step.HeartbeatResult;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.HeartbeatMessages.Heartbeat;
import shorecrank.protocol.HeartbeatMessages.HeartbeatAnswer;
import shorecrank.protocol.HeartbeatMessages.Lease;
import shorecrank.protocol.HeartbeatMessages.MachineInfo;
import shorecrank.protocol.HeartbeatMessages.ShardReport;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.RolloutMessages.Announcement;
import shorecrank.rollout.FeatureGate;

/**
 * Sends this controller's heartbeats to the leader and applies the answers: leases, shard owners
 * and assignments of machines.
 */
final class HeartbeatExchange {
  /**
   * How long an unscheduled heartbeat is delayed, so that further changes within this time are sent
   * in the same message.
   */
  private static final int BATCH_DELAY_MS = 100;

  private static final int RETRY_MS = 300;
  private static final int NO_LEADER_RETRY_MS = 150;
  private static final int MIN_TIMEOUT_MS = 500;

  private final StepContext context;
  private final Election election;
  private final Leader leader;
  private final FeatureGate gate;

  /**
   * The build and the feature levels that each heartbeat announces to the leader; null if rollouts
   * are disabled.
   */
  private final Announcement announcement;

  private final OwnerTable owners;
  private final OwnedShards shards;
  private final MachineAssignments assignments;
  private final ForeignWorkers foreignWorkers;
  private final PeerStoreReachability peerReachability;
  private MonotonicTime nextAt = new MonotonicTime(0);
  private boolean isInFlight;

  /** The parts of the controller's state that heartbeats report and their answers update. */
  record SharedState(
      OwnerTable owners,
      OwnedShards shards,
      MachineAssignments assignments,
      ForeignWorkers foreignWorkers,
      PeerStoreReachability peerReachability) {}

  /**
   * Creates the exchange; the first heartbeat is due at the first tick.
   *
   * @param announcement the build and the feature levels to announce to the leader, or null if
   *     rollouts are disabled
   */
  HeartbeatExchange(
      StepContext context,
      Election election,
      Leader leader,
      FeatureGate gate,
      Announcement announcement,
      SharedState state) {
    this.context = context;
    this.election = election;
    this.leader = leader;
    this.gate = gate;
    this.announcement = announcement;
    this.owners = state.owners;
    this.shards = state.shards;
    this.assignments = state.assignments;
    this.foreignWorkers = state.foreignWorkers;
    this.peerReachability = state.peerReachability;
  }

  /** Makes the next heartbeat due at the next tick. */
  void requestNow() {
    nextAt = context.now();
  }

  /** Makes the next heartbeat due within {@link #BATCH_DELAY_MS}. */
  void requestSoon() {
    MonotonicTime soon = context.now().plus(BATCH_DELAY_MS);
    if (soon.isBefore(nextAt)) {
      nextAt = soon;
    }
  }

  private void scheduleIn(int delayMs) {
    nextAt = context.now().plus(delayMs);
  }

  /** Sends a heartbeat if one is due and the previous one has been answered or has timed out. */
  void tick() {
    if (!isInFlight && !context.now().isBefore(nextAt)) {
      send();
    }
  }

  private void send() {
    MonotonicTime sentAt = context.now();
    ControllerName to = election.leader();
    int interval = context.settings().heartbeatIntervalMs();
    scheduleIn(interval - interval / 10 + context.random().nextInt(interval / 5 + 1));
    Heartbeat heartbeat = compose();
    if (election.isHoldingKey()) {
      HeartbeatAnswer answer = leader.handleHeartbeat(heartbeat);
      if (answer != null) {
        apply(answer, sentAt);
      }
    } else if (to == null) {
      nextAt = sentAt.plus(NO_LEADER_RETRY_MS);
    } else {
      isInFlight = true;
      context
          .peers()
          .sendHeartbeat(
              to,
              heartbeat,
              Math.max(MIN_TIMEOUT_MS, interval * 2),
              result -> handleResult(result, sentAt));
    }
  }

  private Heartbeat compose() {
    List<ShardReport> reports = shards.report();
    List<MachineInfo> unassigned = foreignWorkers.pollUnassigned();
    if (foreignWorkers.hasUnassigned()) {
      // Sends the machines that did not fit into this heartbeat soon, not a heartbeat interval
      // later.
      scheduleIn(BATCH_DELAY_MS);
    }
    return new Heartbeat(
        context.config().label(),
        context.writer(),
        context.isStoreReachable(),
        assignments.version(),
        reports,
        unassigned,
        foreignWorkers.countMisrouted(assignments),
        announcement);
  }

  private void handleResult(HeartbeatResult result, MonotonicTime sentAt) {
    isInFlight = false;
    if (result instanceof HeartbeatResult.Answered answered) {
      apply(answered.answer(), sentAt);
      return;
    }
    if (result instanceof HeartbeatResult.Malformed) {
      context.reportError("peer.malformed", "peer.message.malformed kind=heartbeat_answer");
    } else if (result instanceof HeartbeatResult.Refused refused && !refused.reachesStore()) {
      peerReachability.recordLeaderWithoutStore();
    }
    scheduleIn(RETRY_MS);
  }

  private void apply(HeartbeatAnswer answer, MonotonicTime sentAt) {
    owners.recordLeaderContact();
    if (announcement != null) {
      gate.observe(answer.rolloutNotice());
    }
    peerReachability.recordAnyPeer(answer.storeReachableByOthers() || !election.isHoldingKey());
    owners.replaceAll(answer.owners());
    if (shards.relinquishUnrenewed(answer.leases())) {
      requestNow();
    }
    boolean isChanged = assignments.update(answer);
    for (Lease lease : answer.leases()) {
      if (!shards.accept(lease, sentAt)) {
        scheduleIn(BATCH_DELAY_MS);
      }
    }
    int served = shards.countServed();
    context.allotStoreBudget(
        (double) served / context.settings().shards(), election.isHoldingKey());
    shards.updateMachines(answer);
    if (isChanged && shards.hasCapacityRequests()) {
      // The leader accepts requests for machines only from an owner that knows the latest version
      // of the assignments. Acknowledging the version early shortens the wait for machines.
      scheduleIn(BATCH_DELAY_MS);
    }
    context.gauge("parts.owned", served);
  }
}
