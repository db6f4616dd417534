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
 * The deterministic state machine of one controller process. Each step takes one input (a request,
 * the answer to a call, or a tick) and returns the outputs to carry out: calls, replies, log lines
 * and metrics.
 *
 * <p>It does no I/O and has no clock, thread or source of random numbers of its own, so that a run
 * can be replayed exactly from its inputs. It is not thread-safe.
 */
public final class ControllerStateMachine {
  private static final String HEALTH_PATH = "/healthz";
  private static final String WORKER_HEARTBEAT_PATH = "/v1/report";

  /** How long the state service may go without answering any call before it is probed. */
  private static final int PROBE_IDLE_MS = 900;

  private static final int PROBE_INTERVAL_MS = 1000;
  private static final int PROBE_TIMEOUT_MS = 1500;

  private final StepContext context;
  private final Election election;
  private final Leader leader;

  /** Null if rollouts are disabled. */
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

  /**
   * Creates a controller with rollouts disabled. It uses only the stored forms and messages of the
   * lowest feature level.
   */
  public ControllerStateMachine(NodeConfig config, Settings settings, WriterId writer) {
    this(config, settings, writer, null, null);
  }

  /**
   * Creates a controller that has not taken a step yet.
   *
   * @param writer the unique name of this process
   * @param setup the configuration of rollouts, or null if rollouts are disabled
   * @param shares the settings of moves of machines between shards, which require rollouts, or null
   *     if such moves are disabled
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
    owners = new OwnerTable(context, this::onOwnerObserved);
    cancellations = new CancellationLog(context, this::onJobCancelled, owners::observe);
    MachineAssignments assignments = new MachineAssignments();
    shards = new OwnedShards(context, cancellations, gate, assignments, shares != null);
    PeerStoreReachability peerReachability = new PeerStoreReachability(context);
    HeartbeatExchange.SharedState state =
        new HeartbeatExchange.SharedState(
            owners, shards, assignments, new ForeignWorkers(context), peerReachability);
    heartbeats = new HeartbeatExchange(context, election, leader, gate, announcement, state);
    workers = new WorkerHeartbeatRouter(context, election, heartbeats, state);
    statusQueries = new StatusQueryForwarder(context, owners, shards);
    catalog = new MachineTypeCatalog(context, election, this::onCatalogUpdated);
    health = new HealthCheck(context, catalog, peerReachability);
    methods = new MethodGuard(context);
    RequestForwarder forwarder = new RequestForwarder(context, election, peerReachability);
    users =
        new UserRequestRouter(context, methods, cancellations, forwarder::forward, statusQueries);
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
        context.settings().heartbeatIntervalMs());
  }

  /**
   * Processes one input.
   *
   * @param now the time on the monotonic clock
   * @param wallMs the time of day, in milliseconds since the Unix epoch
   * @param entropy the seed of this step's random numbers
   * @return the outputs to carry out, in order
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
      // The answer may have named the owner that a held worker heartbeat has to go to.
      workers.retryHeld();
    } else if (input instanceof Input.HeartbeatsDelayed) {
      context.recordHeartbeatsDelayed();
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
          context.config().workers().cancellationDeadlineS(), context.config().workers().leaseS());
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
    users.tick();
  }

  /**
   * Reads the leader's key if the state service has not answered for {@link #PROBE_IDLE_MS}, to
   * find out whether the service is reachable. The value that is read is ignored.
   */
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

  private void onOwnerObserved(OwnerInfo owner) {
    shards.releaseIfSuperseded(owner);
  }

  private void onJobCancelled(JobId job) {
    shards.onJobCancelled(job);
  }

  private void onCatalogUpdated(Map<String, MachineType> types) {
    users.updateCatalog(types);
    leader.updateCatalog(types);
    shards.updateCatalog(types);
  }

  /**
   * Returns the epoch of each shard whose lease this process holds at the given time, so that it
   * may send commands to the shard's workers.
   */
  public Map<ShardId, Epoch> commandedEpochs(MonotonicTime at) {
    return shards.commandedEpochs(at);
  }

  /** Returns the machines to whose workers this process may send commands at the given time. */
  public Set<MachineName> commandedMachines(MonotonicTime at) {
    return shards.commandedMachines(at);
  }

  /** Returns the epoch of each shard owned by this process, also if its lease has expired. */
  public Map<ShardId, Epoch> ownedEpochs() {
    return shards.epochs();
  }
}
