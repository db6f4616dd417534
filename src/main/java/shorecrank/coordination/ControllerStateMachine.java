package shorecrank.coordination;

import static shorecrank.protocol.HttpStatus.OK;
import static shorecrank.protocol.HttpStatus.UNAVAILABLE;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import shorecrank.config.NodeConfig;
import shorecrank.config.Settings;
import shorecrank.coordination.leader.Election;
import shorecrank.coordination.leader.Leader;
import shorecrank.coordination.leader.StepLeaderEnvironment;
import shorecrank.coordination.model.CancellationLog;
import shorecrank.coordination.request.RolloutRequestHandler;
import shorecrank.coordination.request.ShareRequestHandler;
import shorecrank.coordination.request.UserRequest;
import shorecrank.coordination.step.Input;
import shorecrank.coordination.step.Output;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.HealthCodec;
import shorecrank.protocol.HeartbeatMessages.OwnerInfo;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.RolloutMessages.Announcement;
import shorecrank.rebalance.ShareSettings;
import shorecrank.rollout.FeatureGate;
import shorecrank.rollout.RolloutCoordinator;
import shorecrank.rollout.RolloutSetup;

/**
 * One controller as a state machine: it takes requests, answers and ticks, and returns what to
 * send, write and answer. It does no input or output, and holds no clock, thread or source of
 * random numbers, so that a run can be repeated exactly.
 */
public final class ControllerStateMachine {
  private static final String HEALTH_PATH = "/healthz";
  private static final String WORKER_HEARTBEAT_PATH = "/v1/report";

  /** A state service that has not answered for this long is probed. */
  private static final int PROBE_IDLE_MS = 900;

  private static final int PROBE_INTERVAL_MS = 1000;
  private static final int PROBE_TIMEOUT_MS = 1500;

  private final StepContext context;
  private final Election election;
  private final Leader leader;

  /** Null if rollouts are not enabled. */
  private final RolloutCoordinator rollout;

  private final CancellationLog cancellations;
  private final OwnerTable owners;
  private final OwnedShards shards;
  private final MachineTypeCatalog catalog;
  private final HeartbeatExchange heartbeats;
  private final WorkerHeartbeatRouter workers;
  private final StatusQueryForwarder statusQueries;
  private final HealthCheck health;
  private final MethodGuard methods;
  private final UserRequestRouter users;
  private final PeerRequestRouter peers;
  private boolean isStarted;
  private MonotonicTime nextProbeAt = new MonotonicTime(0);

  /** A controller without rollouts: it writes and sends nothing above the lowest level. */
  public ControllerStateMachine(NodeConfig config, Settings settings, WriterId writer) {
    this(config, settings, writer, null, null);
  }

  /**
   * A controller before its first step.
   *
   * @param writer names this process and no other
   * @param setup of rollouts; null if they are not enabled
   * @param shares the settings of shares, which need rollouts; null if they are not enabled
   */
  public ControllerStateMachine(
      NodeConfig config,
      Settings settings,
      WriterId writer,
      RolloutSetup setup,
      ShareSettings shares) {
    context = new StepContext(config, settings, writer);
    Announcement announcement = setup == null ? null : setup.announcement();
    election = new Election(context, setup == null ? null : announcement.supported());
    rollout = setup == null ? null : newRolloutCoordinator(setup);
    FeatureGate gate = new FeatureGate();
    leader = new Leader(context, election, rollout, gate, shares);
    owners = new OwnerTable(context, this::ownerObserved);
    cancellations = new CancellationLog(context, this::cancellationLearned, owners::observe);
    MachineAssignments assignments = new MachineAssignments();
    shards = new OwnedShards(context, cancellations, gate, assignments, shares != null);
    PeerStoreReachability peerReachability = new PeerStoreReachability(context);
    HeartbeatExchange.SharedState state =
        new HeartbeatExchange.SharedState(
            owners, shards, assignments, new ForeignWorkers(context), peerReachability);
    heartbeats = new HeartbeatExchange(context, election, leader, gate, announcement, state);
    workers = new WorkerHeartbeatRouter(context, election, heartbeats, state);
    statusQueries = new StatusQueryForwarder(context, owners, shards);
    catalog = new MachineTypeCatalog(context, election, this::catalogUpdated);
    health = new HealthCheck(context, catalog, peerReachability);
    methods = new MethodGuard(context);
    RequestForwarder forwarder = new RequestForwarder(context, election, peerReachability);
    users =
        new UserRequestRouter(
            context, methods, cancellations, forwarder::forward, statusQueries::query);
    peers =
        new PeerRequestRouter(
            context,
            methods,
            new PeerRequestRouter.Handlers(
                leader,
                heartbeats,
                peerReachability,
                owners,
                statusQueries,
                cancellations,
                users,
                new RolloutRequestHandler(context, election, rollout),
                new ShareRequestHandler(context, election, leader.moveCoordinator())));
  }

  private RolloutCoordinator newRolloutCoordinator(RolloutSetup setup) {
    List<ControllerName> members = new ArrayList<>();
    members.add(context.config().label());
    context.config().members().forEach(member -> members.add(member.label()));
    return new RolloutCoordinator(
        new StepLeaderEnvironment(context),
        election,
        setup.settings(),
        setup.announcement(),
        members,
        context.settings().renewMs());
  }

  /**
   * Takes one input.
   *
   * @param now the steady clock
   * @param wallMs the time of day in milliseconds since 1970
   * @param entropy fresh random bits for this step
   * @return what to do now, in this order
   */
  public List<Output> step(Input input, MonotonicTime now, long wallMs, long entropy) {
    context.begin(now, wallMs, entropy);
    if (!isStarted) {
      isStarted = true;
      checkCancellationTime();
    }
    if (input instanceof Input.Request request) {
      route(request);
    } else if (input instanceof Input.Answer answer) {
      context.handleAnswer(answer);
      // The answer may tell where held heartbeats belong.
      workers.retryHeld();
    } else if (input instanceof Input.Tick tick) {
      tick(tick);
    }
    return context.end();
  }

  private void checkCancellationTime() {
    if (!context.canCancelInTime()) {
      context.error(
          "settings.cancellation.unsafe cancel_s=%.1f lease_s=%.1f"
              + " effect=\"without the state service cancelled tasks may outlast cancel_s\"",
          context.config().workers().cancelS(), context.config().workers().leaseS());
    }
  }

  private void tick(Input.Tick tick) {
    election.tick();
    if (rollout != null) {
      rollout.tick();
    }
    leader.tick();
    heartbeats.tick();
    catalog.tick();
    owners.tick();
    workers.retryHeld();
    probeStore();
    shards.tick(tick.budget());
    statusQueries.sendPending();
    cancellations.tick(shards.oldestCancellationView());
  }

  /** Reads something from the state service if it has not answered lately. */
  private void probeStore() {
    MonotonicTime now = context.now();
    if (now.isBefore(nextProbeAt)) {
      return;
    }
    nextProbeAt = now.plus(PROBE_INTERVAL_MS);
    if (now.since(context.storeLastAnsweredAt()) > PROBE_IDLE_MS) {
      context.store().read(Election.KEY, PROBE_TIMEOUT_MS, result -> {});
    }
  }

  private void route(Input.Request request) {
    String path = request.path();
    int query = path.indexOf('?');
    if (query >= 0) {
      path = path.substring(0, query);
    }
    if (request.fromPeer()) {
      peers.route(request, path);
      return;
    }
    switch (path) {
      case HEALTH_PATH -> require("GET", request, () -> answerHealth(request));
      case WORKER_HEARTBEAT_PATH -> require("POST", request, () -> workers.receive(request));
      default ->
          users.route(
              new UserRequest(request.reply(), request.method(), path, request.body(), false));
    }
  }

  private void require(String method, Input.Request request, Runnable action) {
    methods.require(method, request.method(), request.reply(), action);
  }

  private void answerHealth(Input.Request request) {
    boolean isHealthy = health.isHealthy();
    context.reply(request.reply(), isHealthy ? OK : UNAVAILABLE, HealthCodec.write(isHealthy));
  }

  private void ownerObserved(OwnerInfo owner) {
    shards.releaseIfSuperseded(owner);
  }

  private void cancellationLearned(JobId job) {
    shards.learnCancelled(job);
  }

  private void catalogUpdated(Map<String, MachineType> types) {
    users.updateCatalog(types);
    leader.updateCatalog(types);
    shards.updateCatalog(types);
  }

  /** The epochs of the shards whose workers this process may command at a moment. */
  public Map<ShardId, Epoch> commandedEpochs(MonotonicTime at) {
    return shards.commandedEpochs(at);
  }

  /** The machines that this process may command at a moment. */
  public Set<MachineName> commandedMachines(MonotonicTime at) {
    return shards.commandedMachines(at);
  }

  /** The epochs of the shards owned here. */
  public Map<ShardId, Epoch> ownedEpochs() {
    return shards.epochs();
  }
}
