package shorecrank.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import shorecrank.config.NodeConfig;
import shorecrank.config.Settings;
import shorecrank.coordination.leader.Election;
import shorecrank.coordination.leader.Leader;
import shorecrank.coordination.leader.ShardOwnerCodec;
import shorecrank.coordination.leader.StepLeaderEnvironment;
import shorecrank.coordination.model.CancellationLog;
import shorecrank.coordination.request.RolloutRequestHandler;
import shorecrank.coordination.request.ShareRequestHandler;
import shorecrank.coordination.request.UserRequestHandler;
import shorecrank.coordination.shard.ShardOwner;
import shorecrank.coordination.shard.StatusQueries;
import shorecrank.coordination.step.Input;
import shorecrank.coordination.step.Output;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.Json;
import shorecrank.protocol.PeerMessages;
import shorecrank.protocol.PeerMessages.Heartbeat;
import shorecrank.protocol.PeerMessages.HeartbeatAnswer;
import shorecrank.protocol.PeerMessages.Lease;
import shorecrank.protocol.PeerMessages.MachineAssignment;
import shorecrank.protocol.PeerMessages.MachineInfo;
import shorecrank.protocol.PeerMessages.OwnerInfo;
import shorecrank.protocol.PeerMessages.ShardReport;
import shorecrank.protocol.RolloutMessages;
import shorecrank.protocol.RolloutMessages.Announcement;
import shorecrank.protocol.ShareMessages;
import shorecrank.protocol.StoreMessages;
import shorecrank.protocol.UserMessages.JobStatus;
import shorecrank.protocol.WorkerMessages;
import shorecrank.protocol.WorkerMessages.WorkerHeartbeat;
import shorecrank.rebalance.ShareSettings;
import shorecrank.rollout.FeatureGate;
import shorecrank.rollout.RolloutCoordinator;
import shorecrank.rollout.RolloutSetup;

/**
 * One controller as a state machine: inputs in, what to send, write and answer out. It holds no
 * I/O, clock, thread or random source.
 */
public final class ControllerStateMachine {
  private static final String CATALOG = "catalog";
  private static final int ASK_MS = 700;
  private static final int RELAY_MS = 2000;

  /** After so long without a leader's answer, what it said of owners is looked up in the store. */
  private static final int STALE_MS = 2500;

  private static final int YOUNG_MS = 8000;
  private static final int SHELTER_MS = 2500;
  private static final int MAX_SEEN = 500;

  /** A worker that was sent to its owner and is not back after so long has found it. */
  private static final int STRAY_MS = 8000;

  /** So long without the state service, while others reach it, and users are better off there. */
  private static final int UNHEALTHY_MS = 3000;

  private final StepContext context;
  private final Election election;
  private final Leader leader;

  /** What this controller announces; null if rollouts are not enabled. */
  private final Announcement announcement;

  private final RolloutCoordinator rollout;
  private final RolloutRequestHandler rolloutRequests;
  private final ShareRequestHandler shareRequests;
  private final boolean sharesEnabled;
  private final FeatureGate gate = new FeatureGate();
  private final UserRequestHandler userRequests;
  private final CancellationLog cancellations;
  private final Map<ShardId, ShardOwner> shardOwners = new TreeMap<>();
  private final Map<ShardId, OwnerInfo> owners = new TreeMap<>();

  /** Parts granted under an epoch that is used up, to be reported. */
  private final Map<ShardId, Epoch> refused = new TreeMap<>();

  /** The highest epoch under which this process has given a part up. */
  private final Map<ShardId, Epoch> givenUp = new TreeMap<>();

  private final Map<MachineName, MachineAssignment> assigned = new LinkedHashMap<>();
  private final Map<MachineName, MachineInfo> seen = new LinkedHashMap<>();
  private final Map<MachineName, MonotonicTime> misroutedWorkers = new HashMap<>();
  private final Map<ShardId, Map<JobId, List<StatusQueries.StatusCallback>>> statusQueries =
      new TreeMap<>();
  private long assignmentVersion = -1;
  private MonotonicTime nextHeartbeatAt = new MonotonicTime(0);
  private MonotonicTime answeredAt = MonotonicTime.NEVER;
  private MonotonicTime startedAt = MonotonicTime.NEVER;
  private final List<Sheltered> sheltered = new ArrayList<>();
  private boolean ownersBusy;
  private MonotonicTime ownersAt = new MonotonicTime(0);
  private boolean heartbeatInFlight;
  private boolean othersStateOk;
  private MonotonicTime othersAt = MonotonicTime.NEVER;
  private Map<String, MachineType> catalog = Map.of();
  private boolean catalogBusy;
  private boolean catalogStored;
  private MonotonicTime catalogAt = new MonotonicTime(0);
  private MonotonicTime probeAt = new MonotonicTime(0);

  /** A controller without rollouts: it writes and sends nothing above the lowest level. */
  public ControllerStateMachine(NodeConfig config, Settings tuning, WriterId writer) {
    this(config, tuning, writer, null, null);
  }

  /**
   * @param setup of rollouts; null if they are not enabled
   * @param shares the settings of shares, which need rollouts; null if they are not enabled
   */
  public ControllerStateMachine(
      NodeConfig config,
      Settings tuning,
      WriterId writer,
      RolloutSetup setup,
      ShareSettings shares) {
    this.context = new StepContext(config, tuning, writer);
    this.announcement = setup == null ? null : setup.announcement();
    this.election = new Election(context, setup == null ? null : announcement.supported());
    this.rollout = setup == null ? null : coordinator(setup);
    this.rolloutRequests = new RolloutRequestHandler(context, election, rollout);
    this.leader = new Leader(context, election, rollout, gate, shares);
    this.shareRequests = new ShareRequestHandler(context, election, leader.moves());
    this.sharesEnabled = shares != null;
    this.cancellations = new CancellationLog(context, this::learnCancelled, this::owner);
    this.userRequests = new UserRequestHandler(context, cancellations, this::askOwner, this::relay);
  }

  private RolloutCoordinator coordinator(RolloutSetup setup) {
    List<ControllerName> members = new ArrayList<>();
    members.add(context.config.label());
    context.config.members().forEach(m -> members.add(m.label()));
    return new RolloutCoordinator(
        new StepLeaderEnvironment(context),
        election,
        setup.settings(),
        announcement,
        members,
        context.tuning.renewMs());
  }

  /**
   * One step.
   *
   * @param now the steady clock
   * @param wallMs the time of day
   * @param entropy fresh random bits for this step
   */
  public List<Output> step(Input in, MonotonicTime now, long wallMs, long entropy) {
    context.begin(now, wallMs, entropy);
    if (startedAt == MonotonicTime.NEVER) {
      startedAt = now;
      if (!context.cancelsInTime()) {
        context.error(
            "settings.workers: cancel_s %.1f leaves too little over lease_s %.1f: without the state"
                + " service cancelled tasks may outlast it",
            context.config.workers().cancelS(), context.config.workers().leaseS());
      }
    }
    if (in instanceof Input.Request r) {
      request(r);
    } else if (in instanceof Input.Answer a) {
      context.answered(a);
      // What it told may be what reports wait for.
      shelter();
    } else if (in instanceof Input.Tick t) {
      tick(t);
    }
    return context.end();
  }

  private void tick(Input.Tick t) {
    MonotonicTime now = context.now();
    election.tick();
    if (rollout != null) {
      rollout.tick();
    }
    leader.tick();
    if (!heartbeatInFlight && !now.before(nextHeartbeatAt)) {
      heartbeat();
    }
    catalogWork();
    lookUpOwners();
    shelter();
    if (!now.before(probeAt)) {
      probeAt = now.plus(1000);
      if (now.since(context.stateOkAt()) > 900) {
        context.state("GET", StoreMessages.key(Election.KEY), null, 1500, (status, body) -> {});
      }
    }
    for (ShardOwner s : shardOwners.values()) {
      s.tick(t.budget());
    }
    sendQuestions();
    MonotonicTime blindSince = MonotonicTime.NEVER;
    for (ShardOwner s : shardOwners.values()) {
      MonotonicTime of = s.storeAsOf();
      if (blindSince == MonotonicTime.NEVER
          || (of != MonotonicTime.NEVER && of.before(blindSince))) {
        blindSince = of;
      }
    }
    cancellations.tick(blindSince);
  }

  private void learnCancelled(JobId id) {
    shardOwners.values().forEach(s -> s.learnCancelled(id));
  }

  // ---- requests ------------------------------------------------------------------------------

  private void request(Input.Request r) {
    String path = r.path();
    int q = path.indexOf('?');
    if (q >= 0) {
      path = path.substring(0, q);
    }
    if (r.fromPeer()) {
      peer(r, path);
      return;
    }
    switch (path) {
      case "/healthz" -> only("GET", r, () -> health(r));
      case "/v1/report" -> only("POST", r, () -> report(r));
      default -> user(r, path, false);
    }
  }

  private void user(Input.Request r, String path, boolean relayed) {
    UserRequestHandler.Ask ask =
        new UserRequestHandler.Ask(r.reply(), r.method(), path, r.body(), relayed);
    if (path.equals("/api/jobs")) {
      only("POST", r, () -> userRequests.submit(ask));
      return;
    }
    if (path.startsWith("/api/jobs/")) {
      String rest = path.substring("/api/jobs/".length());
      if (rest.endsWith("/abort") && rest.indexOf('/') == rest.length() - 6) {
        String id = rest.substring(0, rest.length() - 6);
        only("POST", r, () -> userRequests.cancel(ask, id));
        return;
      }
      if (!rest.isEmpty() && rest.indexOf('/') < 0) {
        only("GET", r, () -> userRequests.status(ask, rest));
        return;
      }
    }
    context.reply(r.reply(), 404, Json.error("no such path"));
  }

  /** Passes a user's request on to a controller that reaches the state service, if one says so. */
  private boolean relay(UserRequestHandler.Ask ask, Runnable failed) {
    if (!othersStateOk || context.now().since(othersAt) > 4000) {
      return false;
    }
    ControllerName to = election.leader();
    if (to == null || to.equals(context.config.label())) {
      List<NodeConfig.Member> others = context.config.members();
      if (others.isEmpty()) {
        return false;
      }
      to = others.get(context.random().nextInt(others.size())).label();
    }
    context.count("user.relayed");
    context.peer(
        to,
        PeerMessages.RELAY,
        PeerMessages.relay(ask.method(), ask.path(), ask.body()),
        RELAY_MS,
        (status, body) -> {
          switch (status) {
            case 200, 201, 400, 404, 422 -> context.reply(ask.reply(), status, body);
            default -> failed.run();
          }
        });
    return true;
  }

  private void relayed(Input.Request r) {
    JsonNode n = Json.parse(r.body());
    user(
        new Input.Request(
            r.reply(),
            false,
            PeerMessages.relayedMethod(n),
            PeerMessages.relayedPath(n),
            PeerMessages.relayedBody(n)),
        PeerMessages.relayedPath(n),
        true);
  }

  private void only(String method, Input.Request r, Runnable then) {
    if (r.method().equals(method)) {
      then.run();
    } else {
      context.reply(r.reply(), 405, Json.error("only " + method));
    }
  }

  private void health(Input.Request r) {
    MonotonicTime now = context.now();
    boolean othersServe = othersStateOk && now.since(othersAt) < 4000;
    boolean alone = !context.config.members().isEmpty() && context.aloneMs() > 6000;
    // In an outage of the state service no controller is better than another, and all stay healthy.
    boolean ok =
        !catalog.isEmpty()
            && (now.since(context.stateOkAt()) < UNHEALTHY_MS || (!othersServe && !alone));
    context.reply(
        r.reply(), ok ? 200 : 503, Json.object().put("status", ok ? "serving" : "not serving"));
  }

  private void peer(Input.Request r, String path) {
    switch (path) {
      case PeerMessages.HEARTBEAT -> only("POST", r, () -> handleHeartbeat(r));
      case PeerMessages.ASK -> only("POST", r, () -> peerAsk(r));
      case PeerMessages.CONFIRMED -> only("POST", r, () -> peerConfirmed(r));
      case PeerMessages.RELAY -> only("POST", r, () -> relayed(r));
      case RolloutMessages.STATUS -> rolloutRequests.status(r);
      case RolloutMessages.ORDERS -> only("POST", r, () -> rolloutRequests.order(r));
      case RolloutMessages.KEYS -> only("POST", r, () -> rolloutRequests.keys(r));
      case ShareMessages.SHOW -> shareRequests.show(r);
      case ShareMessages.ORDERS -> only("POST", r, () -> shareRequests.order(r));
      case PeerMessages.HEARTBEAT_NOW ->
          only(
              "POST",
              r,
              () -> {
                nextHeartbeatAt = context.now();
                context.reply(r.reply(), 200, Json.object());
              });
      default -> context.reply(r.reply(), 404, Json.error("no such path"));
    }
  }

  private void peerConfirmed(Input.Request r) {
    JsonNode question = Json.parse(r.body());
    long within = PeerMessages.readConfirmedWithin(question);
    if (within < 0) {
      malformed(r, "question");
      return;
    }
    context.reply(
        r.reply(),
        200,
        PeerMessages.write(
            cancellations.answer(
                within, PeerMessages.readConfirmedMost(question), owners.values())));
  }

  private void malformed(Input.Request r, String what) {
    context.refused("peer.malformed", "malformed " + what + " of another controller refused");
    context.reply(r.reply(), 400, Json.error("malformed " + what));
  }

  private void peerAsk(Input.Request r) {
    JsonNode n = Json.parse(r.body());
    ShardOwner s = shardOwners.get(PeerMessages.askedPart(n));
    List<JobId> ids = PeerMessages.asked(n);
    Map<JobId, JobStatus> told = new HashMap<>();
    if (s == null || ids.isEmpty()) {
      context.reply(r.reply(), 200, PeerMessages.told(told));
      return;
    }
    int[] open = {ids.size()};
    for (JobId id : ids) {
      s.ask(
          id,
          jobStatus -> {
            if (jobStatus != null) {
              told.put(id, jobStatus);
            }
            if (--open[0] == 0) {
              context.reply(r.reply(), 200, PeerMessages.told(told));
            }
          });
    }
  }

  /** Asks the owner of a part, here or elsewhere; null if it can't tell. */
  private void askOwner(ShardId shard, JobId id, StatusQueries.StatusCallback then) {
    ShardOwner s = shardOwners.get(shard);
    if (s != null) {
      s.ask(id, then);
      return;
    }
    OwnerInfo o = owners.get(shard);
    if (o == null || o.label().equals(context.config.label())) {
      then.told(null);
      return;
    }
    statusQueries
        .computeIfAbsent(shard, p -> new LinkedHashMap<>())
        .computeIfAbsent(id, k -> new ArrayList<>(1))
        .add(then);
  }

  /** Machines met here; what does not fit into one message goes with the next. */
  private List<MachineInfo> someSeen() {
    List<MachineInfo> some = new ArrayList<>();
    for (var i = seen.values().iterator(); i.hasNext() && some.size() < MAX_SEEN; ) {
      some.add(i.next());
      i.remove();
    }
    return some;
  }

  /** Workers that came here lately instead of to their owner. */
  private Map<ShardId, Integer> misroutedWorkers() {
    misroutedWorkers.values().removeIf(at -> context.now().since(at) > STRAY_MS);
    Map<ShardId, Integer> byPart = new TreeMap<>();
    for (MachineName h : misroutedWorkers.keySet()) {
      MachineAssignment l = assigned.get(h);
      if (l != null) {
        byPart.merge(l.shard(), 1, Integer::sum);
      }
    }
    return byPart;
  }

  /** All questions since the last round go to an owner in one message. */
  private void sendQuestions() {
    statusQueries.forEach(
        (shard, byId) -> {
          OwnerInfo o = owners.get(shard);
          List<JobId> ids = byId.keySet().stream().limit(PeerMessages.MAX_ASKED).toList();
          Map<JobId, List<StatusQueries.StatusCallback>> sent = new LinkedHashMap<>(byId);
          if (o == null) {
            sent.values().forEach(l -> l.forEach(t -> t.told(null)));
            return;
          }
          context.peer(
              o.label(),
              PeerMessages.ASK,
              PeerMessages.ask(shard, ids),
              ASK_MS,
              (status, body) -> {
                Map<JobId, JobStatus> told =
                    status == 200 ? PeerMessages.told(body) : Map.<JobId, JobStatus>of();
                sent.forEach((id, l) -> l.forEach(t -> t.told(told.get(id))));
              });
        });
    statusQueries.clear();
  }

  private void handleHeartbeat(Input.Request r) {
    Heartbeat b = PeerMessages.readHeartbeat(Json.parse(r.body()));
    if (b == null) {
      malformed(r, "beat");
      return;
    }
    context.peerHeard();
    if (b.stateOk()) {
      othersStateOk = true;
      othersAt = context.now();
    } else if (context.now().since(othersAt) > 2000) {
      othersStateOk = false;
    }
    HeartbeatAnswer a = leader.heartbeat(b);
    if (a == null) {
      context.reply(r.reply(), 503, Json.object().put("stateOk", context.stateOk()));
    } else {
      context.reply(r.reply(), 200, PeerMessages.write(a));
    }
  }

  private void report(Input.Request r) {
    WorkerHeartbeat w = WorkerMessages.read(Json.parse(r.body()));
    if (w == null) {
      context.refused("report.malformed", "malformed report refused");
      context.reply(r.reply(), 400, Json.error("malformed report"));
      return;
    }
    route(new Sheltered(r.reply(), w, context.now()));
  }

  /** A report that waits until this process knows where it belongs. */
  private record Sheltered(long reply, WorkerHeartbeat report, MonotonicTime since) {}

  /** A report that waits holds its connection, and there are no more than sockets. */
  private int mostSheltered() {
    return context.config.limits().sockets();
  }

  private void shelter() {
    if (sheltered.isEmpty()) {
      return;
    }
    List<Sheltered> all = new ArrayList<>(sheltered);
    sheltered.clear();
    all.forEach(this::route);
  }

  private void route(Sheltered one) {
    WorkerHeartbeat w = one.report();
    long reply = one.reply();
    MachineAssignment known = assigned.get(w.host());
    boolean unclear =
        known == null ? answeredAt == MonotonicTime.NEVER : !owners.containsKey(known.shard());
    if (unclear
        && context.now().since(startedAt) < YOUNG_MS
        && context.now().since(one.since()) < SHELTER_MS
        && sheltered.size() < mostSheltered()) {
      // A process that has just begun will know in a moment. A worker that is sent away comes back
      // after a second at the earliest, and its lease may be short: after the end of all
      // controllers most of the tasks would be lost by that.
      sheltered.add(one);
      return;
    }
    if (known == null) {
      seen.put(w.host(), new MachineInfo(w.host(), w.type(), w.zone(), w.spot()));
      nextHeartbeatAt =
          context.now().plus(100).before(nextHeartbeatAt)
              ? context.now().plus(100)
              : nextHeartbeatAt;
      ControllerName l = election.leader();
      context.reply(
          reply,
          421,
          WorkerMessages.elsewhere(l == null || l.equals(context.config.label()) ? null : l));
      return;
    }
    ShardId shard = known.shard();
    ShardOwner s = shardOwners.get(shard);
    if (s != null) {
      boolean alone = context.aloneMs() > 4000;
      if (s.valid() || s.inGrace(alone)) {
        if (s.informed()) {
          s.report(reply, w, s.valid());
          return;
        }
        if (s.storeAsOf() == MonotonicTime.NEVER
            && context.now().since(one.since()) < SHELTER_MS
            && sheltered.size() < mostSheltered()) {
          // A new owner will have read the records in a moment.
          sheltered.add(one);
          return;
        }
        context.count("report.uninformed");
      }
      context.reply(reply, 503, Json.error("not entitled now"));
      return;
    }
    misroutedWorkers.put(w.host(), context.now());
    OwnerInfo o = owners.get(shard);
    context.reply(
        reply,
        421,
        WorkerMessages.elsewhere(
            o == null || o.label().equals(context.config.label()) ? null : o.label()));
  }

  // ---- beats ---------------------------------------------------------------------------------

  private void heartbeat() {
    MonotonicTime now = context.now();
    ControllerName to = election.leader();
    int renew = context.tuning.renewMs();
    nextHeartbeatAt = now.plus(renew - renew / 10 + context.random().nextInt(renew / 5 + 1));
    List<ShardReport> shards = new ArrayList<>();
    shardOwners.values().stream()
        .filter(s -> !s.relinquished())
        .forEach(s -> shards.add(s.heartbeat()));
    refused.forEach((shard, epoch) -> shards.add(ShardReport.refused(shard, epoch)));
    List<MachineInfo> met = someSeen();
    if (!seen.isEmpty()) {
      // The rest goes at once with the next, not an interval later.
      nextHeartbeatAt = now.plus(100);
    }
    Heartbeat b =
        new Heartbeat(
            context.config.label(),
            context.writer,
            context.stateOk(),
            assignmentVersion,
            shards,
            met,
            misroutedWorkers(),
            announcement);
    if (election.holding()) {
      HeartbeatAnswer a = leader.heartbeat(b);
      if (a != null) {
        answered(a, now);
      }
      return;
    }
    if (to == null) {
      nextHeartbeatAt = now.plus(150);
      return;
    }
    heartbeatInFlight = true;
    context.peer(
        to,
        PeerMessages.HEARTBEAT,
        PeerMessages.write(b),
        Math.max(500, renew * 2),
        (status, body) -> {
          heartbeatInFlight = false;
          HeartbeatAnswer a = status == 200 ? PeerMessages.readAnswer(body) : null;
          if (status == 200 && a == null) {
            context.refused("peer.malformed", "malformed answer of the leader refused");
          }
          if (a != null) {
            answered(a, now);
          } else {
            if (status == 503 && !body.path("stateOk").asBoolean(true)) {
              othersStateOk = false;
            }
            nextHeartbeatAt = context.now().plus(300);
          }
        });
  }

  /**
   * While the leader's answers don't come, the store says who owns what. Without it controllers
   * would go on naming an owner that has been replaced, and workers would be sent back to it for
   * ever.
   */
  private void lookUpOwners() {
    MonotonicTime now = context.now();
    if (now.since(answeredAt) < STALE_MS || ownersBusy || now.before(ownersAt)) {
      return;
    }
    ownersBusy = true;
    context.state(
        "GET",
        StoreMessages.list(ShardOwnerCodec.PREFIX, "", 200),
        null,
        1500,
        (status, body) -> {
          ownersBusy = false;
          ownersAt = context.now().plus(800 + context.random().nextInt(400));
          if (status == 200) {
            StoreMessages.entries(body).forEach(e -> owner(ShardOwnerCodec.read(e.value())));
          }
        });
  }

  private void owner(OwnerInfo o) {
    OwnerInfo known = owners.get(o.shard());
    if (known == null || o.epoch().above(known.epoch())) {
      owners.put(o.shard(), o);
    }
    ShardOwner s = shardOwners.get(o.shard());
    if (s != null && o.epoch().above(s.epoch()) && !o.label().equals(context.config.label())) {
      giveUp(o.shard(), "owner is " + o.label() + " at epoch " + o.epoch());
    }
  }

  private void giveUp(ShardId shard, String why) {
    ShardOwner s = shardOwners.remove(shard);
    givenUp.merge(shard, s.epoch(), (a, b) -> a.above(b) ? a : b);
    s.end(why);
  }

  /**
   * What was given up under an epoch is not taken again under it: workers have shown it and have
   * been given numbers under it, so late reports could not be told from new ones, nor would our
   * answers be taken. Reported like a refused epoch, it makes the leader mint above it.
   */
  private boolean usedUp(Lease l) {
    Epoch last = givenUp.get(l.shard());
    return last != null && !l.epoch().above(last);
  }

  private void answered(HeartbeatAnswer a, MonotonicTime sent) {
    answeredAt = context.now();
    if (announcement != null) {
      gate.observe(a.rollout());
    }
    othersStateOk = a.othersStateOk() || !election.holding();
    othersAt = context.now();
    owners.clear();
    a.owners().forEach(this::owner);
    // A part we hold that the leader neither renews nor gives to another is being taken back. The
    // next heartbeat, without the part, tells the leader that it is free.
    shardOwners.forEach(
        (shard, shardOwner) -> {
          boolean kept = a.leases().stream().anyMatch(l -> l.shard().equals(shard));
          if (!kept && shardOwner.relinquish("not renewed by the leader")) {
            nextHeartbeatAt = context.now();
          }
        });
    boolean news = a.whole() || a.assignmentVersion() != assignmentVersion;
    assignmentVersion = a.assignmentVersion();
    if (a.whole()) {
      assigned.clear();
    }
    a.assigned().forEach(l -> assigned.put(l.host().name(), l));
    a.unassigned().forEach(assigned::remove);
    for (Lease l : a.leases()) {
      // Counted from before the request was sent, so that no delay can lengthen it.
      MonotonicTime until = sent.plus(l.ttlMs() - l.ttlMs() / 500 - 20);
      ShardOwner s = shardOwners.get(l.shard());
      if (s != null && l.epoch().above(s.epoch()) && !s.valid()) {
        // Since the lease lapsed another may have owned the part: what we remember is not true.
        giveUp(l.shard(), "its lease had lapsed before epoch " + l.epoch());
        s = null;
      }
      if (s == null && usedUp(l)) {
        refused.put(l.shard(), l.epoch());
        nextHeartbeatAt = context.now().plus(100);
        continue;
      }
      refused.remove(l.shard());
      if (s == null) {
        s =
            new ShardOwner(
                context, cancellations, gate, l.shard(), l.epoch(), context.now(), sharesEnabled);
        s.catalog(catalog);
        s.machineRegistry().assignedAll(assigned.values());
        s.load();
        shardOwners.put(l.shard(), s);
      }
      s.lease(l.epoch(), until);
    }
    long owned = shardOwners.values().stream().filter(s -> !s.relinquished()).count();
    context.share((double) owned / context.tuning.shards(), election.holding());
    for (ShardOwner s : shardOwners.values()) {
      if (a.whole()) {
        s.machineRegistry().assignedAll(assigned.values());
      } else {
        a.assigned().forEach(s.machineRegistry()::assigned);
        a.unassigned().forEach(s.machineRegistry()::unassigned);
      }
      s.machineRegistry().gone(a.gone());
      s.autoscaler().updateUnavailableOffers(a.blocked());
    }
    if (news
        && shardOwners.values().stream()
            .anyMatch(s -> !s.autoscaler().capacityRequests().isEmpty())) {
      // The leader takes wants only from an owner that knows the last lending: say so at once.
      nextHeartbeatAt = context.now().plus(100);
    }
    context.gauge("parts.owned", owned);
  }

  // ---- machine types -------------------------------------------------------------------------

  private void catalogWork() {
    MonotonicTime now = context.now();
    if (catalogBusy || now.before(catalogAt)) {
      return;
    }
    catalogBusy = true;
    if (catalog.isEmpty()) {
      context.state(
          "GET",
          StoreMessages.key(CATALOG),
          null,
          1500,
          (status, body) -> {
            catalogBusy = false;
            if (status == 200) {
              catalog(CloudMessages.catalog(StoreMessages.entry(body).value()));
              catalogStored = true;
              catalogAt = context.now().plus(1000);
            } else {
              askCloud();
            }
          });
    } else if (election.leading()) {
      askCloud();
    } else {
      catalogBusy = false;
      catalogAt = now.plus(2000);
    }
  }

  private void askCloud() {
    catalogBusy = true;
    context.cloud(
        "GET",
        CloudMessages.CATALOG,
        null,
        4000,
        (status, body) -> {
          catalogBusy = false;
          Map<String, MachineType> c =
              status == 200 ? CloudMessages.catalog(body) : new TreeMap<String, MachineType>();
          if (c.isEmpty()) {
            catalogAt = context.now().plus(1000);
            return;
          }
          catalogAt = context.now().plus(60_000);
          catalog(c);
          if (!catalogStored && election.leading()) {
            catalogStored = true;
            // For controllers that start while the cloud can't be asked.
            context.state(
                "POST",
                StoreMessages.MULTI,
                new StoreMessages.Transaction()
                    .guard(election.key(), election.term())
                    .write(CATALOG, body)
                    .body(),
                2000,
                (s, b) -> catalogStored = s == 200);
          }
        });
  }

  private void catalog(Map<String, MachineType> c) {
    if (c.isEmpty()) {
      return;
    }
    catalog = c;
    userRequests.catalog(c);
    leader.updateCatalog(c);
    shardOwners.values().forEach(s -> s.catalog(c));
  }

  /** The epochs of the parts whose workers this process may command at a moment, for observers. */
  public Map<ShardId, Epoch> commanded(MonotonicTime at) {
    Map<ShardId, Epoch> m = new TreeMap<>();
    shardOwners.forEach(
        (shard, shardOwner) -> {
          if (shardOwner.validAt(at)) {
            m.put(shard, shardOwner.epoch());
          }
        });
    return m;
  }

  /** The machines that this process may command at a moment, for observers. */
  public Set<MachineName> commandedMachines(MonotonicTime at) {
    Set<MachineName> machines = new HashSet<>();
    for (ShardOwner s : shardOwners.values()) {
      if (s.validAt(at)) {
        machines.addAll(s.machineRegistry().commanded());
      }
    }
    return machines;
  }

  /** The epochs of the parts owned here, for observers. */
  public Map<ShardId, Epoch> owned() {
    Map<ShardId, Epoch> m = new TreeMap<>();
    shardOwners.forEach((p, s) -> m.put(p, s.epoch()));
    return m;
  }
}
