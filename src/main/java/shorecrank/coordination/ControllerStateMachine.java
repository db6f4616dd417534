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

  private final StepContext ports;
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

  private final Map<MachineName, MachineAssignment> lent = new LinkedHashMap<>();
  private final Map<MachineName, MachineInfo> seen = new LinkedHashMap<>();
  private final Map<MachineName, MonotonicTime> strays = new HashMap<>();
  private final Map<ShardId, Map<JobId, List<StatusQueries.OnStanding>>> statusQueries =
      new TreeMap<>();
  private long lendVersion = -1;
  private MonotonicTime beatAt = new MonotonicTime(0);
  private MonotonicTime answeredAt = MonotonicTime.NEVER;
  private MonotonicTime startedAt = MonotonicTime.NEVER;
  private final List<Sheltered> sheltered = new ArrayList<>();
  private boolean ownersBusy;
  private MonotonicTime ownersAt = new MonotonicTime(0);
  private boolean beating;
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
    this.ports = new StepContext(config, tuning, writer);
    this.announcement = setup == null ? null : setup.announcement();
    this.election = new Election(ports, setup == null ? null : announcement.supported());
    this.rollout = setup == null ? null : coordinator(setup);
    this.rolloutRequests = new RolloutRequestHandler(ports, election, rollout);
    this.leader = new Leader(ports, election, rollout, gate, shares);
    this.shareRequests = new ShareRequestHandler(ports, election, leader.moves());
    this.sharesEnabled = shares != null;
    this.cancellations = new CancellationLog(ports, this::learnCancelled, this::owner);
    this.userRequests = new UserRequestHandler(ports, cancellations, this::askOwner, this::relay);
  }

  private RolloutCoordinator coordinator(RolloutSetup setup) {
    List<ControllerName> members = new ArrayList<>();
    members.add(ports.config.label());
    ports.config.members().forEach(m -> members.add(m.label()));
    return new RolloutCoordinator(
        new StepLeaderEnvironment(ports),
        election,
        setup.settings(),
        announcement,
        members,
        ports.tuning.renewMs());
  }

  /**
   * One step.
   *
   * @param now the steady clock
   * @param wallMs the time of day
   * @param entropy fresh random bits for this step
   */
  public List<Output> step(Input in, MonotonicTime now, long wallMs, long entropy) {
    ports.begin(now, wallMs, entropy);
    if (startedAt == MonotonicTime.NEVER) {
      startedAt = now;
      if (!ports.cancelsInTime()) {
        ports.error(
            "settings.workers: cancel_s %.1f leaves too little over lease_s %.1f: without the state"
                + " service cancelled tasks may outlast it",
            ports.config.workers().cancelS(), ports.config.workers().leaseS());
      }
    }
    if (in instanceof Input.Request r) {
      request(r);
    } else if (in instanceof Input.Answer a) {
      ports.answered(a);
      // What it told may be what reports wait for.
      shelter();
    } else if (in instanceof Input.Tick t) {
      tick(t);
    }
    return ports.end();
  }

  private void tick(Input.Tick t) {
    MonotonicTime now = ports.now();
    election.tick();
    if (rollout != null) {
      rollout.tick();
    }
    leader.tick();
    if (!beating && !now.before(beatAt)) {
      beat();
    }
    catalogWork();
    lookUpOwners();
    shelter();
    if (!now.before(probeAt)) {
      probeAt = now.plus(1000);
      if (now.since(ports.stateOkAt()) > 900) {
        ports.state("GET", StoreMessages.key(Election.KEY), null, 1500, (status, body) -> {});
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
    ports.reply(r.reply(), 404, Json.error("no such path"));
  }

  /** Passes a user's request on to a controller that reaches the state service, if one says so. */
  private boolean relay(UserRequestHandler.Ask ask, Runnable failed) {
    if (!othersStateOk || ports.now().since(othersAt) > 4000) {
      return false;
    }
    ControllerName to = election.leader();
    if (to == null || to.equals(ports.config.label())) {
      List<NodeConfig.Member> others = ports.config.members();
      if (others.isEmpty()) {
        return false;
      }
      to = others.get(ports.random().nextInt(others.size())).label();
    }
    ports.count("user.relayed");
    ports.peer(
        to,
        PeerMessages.RELAY,
        PeerMessages.relay(ask.method(), ask.path(), ask.body()),
        RELAY_MS,
        (status, body) -> {
          switch (status) {
            case 200, 201, 400, 404, 422 -> ports.reply(ask.reply(), status, body);
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
      ports.reply(r.reply(), 405, Json.error("only " + method));
    }
  }

  private void health(Input.Request r) {
    MonotonicTime now = ports.now();
    boolean othersServe = othersStateOk && now.since(othersAt) < 4000;
    boolean alone = !ports.config.members().isEmpty() && ports.aloneMs() > 6000;
    // In an outage of the state service no controller is better than another, and all stay healthy.
    boolean ok =
        !catalog.isEmpty()
            && (now.since(ports.stateOkAt()) < UNHEALTHY_MS || (!othersServe && !alone));
    ports.reply(
        r.reply(), ok ? 200 : 503, Json.object().put("status", ok ? "serving" : "not serving"));
  }

  private void peer(Input.Request r, String path) {
    switch (path) {
      case PeerMessages.BEAT -> only("POST", r, () -> peerBeat(r));
      case PeerMessages.ASK -> only("POST", r, () -> peerAsk(r));
      case PeerMessages.CONFIRMED -> only("POST", r, () -> peerConfirmed(r));
      case PeerMessages.RELAY -> only("POST", r, () -> relayed(r));
      case RolloutMessages.STATUS -> rolloutRequests.status(r);
      case RolloutMessages.ORDERS -> only("POST", r, () -> rolloutRequests.order(r));
      case RolloutMessages.KEYS -> only("POST", r, () -> rolloutRequests.keys(r));
      case ShareMessages.SHOW -> shareRequests.show(r);
      case ShareMessages.ORDERS -> only("POST", r, () -> shareRequests.order(r));
      case PeerMessages.NUDGE ->
          only(
              "POST",
              r,
              () -> {
                beatAt = ports.now();
                ports.reply(r.reply(), 200, Json.object());
              });
      default -> ports.reply(r.reply(), 404, Json.error("no such path"));
    }
  }

  private void peerConfirmed(Input.Request r) {
    JsonNode question = Json.parse(r.body());
    long within = PeerMessages.readConfirmedWithin(question);
    if (within < 0) {
      malformed(r, "question");
      return;
    }
    ports.reply(
        r.reply(),
        200,
        PeerMessages.write(
            cancellations.answer(
                within, PeerMessages.readConfirmedMost(question), owners.values())));
  }

  private void malformed(Input.Request r, String what) {
    ports.refused("peer.malformed", "malformed " + what + " of another controller refused");
    ports.reply(r.reply(), 400, Json.error("malformed " + what));
  }

  private void peerAsk(Input.Request r) {
    JsonNode n = Json.parse(r.body());
    ShardOwner s = shardOwners.get(PeerMessages.askedPart(n));
    List<JobId> ids = PeerMessages.asked(n);
    Map<JobId, JobStatus> told = new HashMap<>();
    if (s == null || ids.isEmpty()) {
      ports.reply(r.reply(), 200, PeerMessages.told(told));
      return;
    }
    int[] open = {ids.size()};
    for (JobId id : ids) {
      s.ask(
          id,
          standing -> {
            if (standing != null) {
              told.put(id, standing);
            }
            if (--open[0] == 0) {
              ports.reply(r.reply(), 200, PeerMessages.told(told));
            }
          });
    }
  }

  /** Asks the owner of a part, here or elsewhere; null if it can't tell. */
  private void askOwner(ShardId part, JobId id, StatusQueries.OnStanding then) {
    ShardOwner s = shardOwners.get(part);
    if (s != null) {
      s.ask(id, then);
      return;
    }
    OwnerInfo o = owners.get(part);
    if (o == null || o.label().equals(ports.config.label())) {
      then.told(null);
      return;
    }
    statusQueries
        .computeIfAbsent(part, p -> new LinkedHashMap<>())
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
  private Map<ShardId, Integer> strays() {
    strays.values().removeIf(at -> ports.now().since(at) > STRAY_MS);
    Map<ShardId, Integer> byPart = new TreeMap<>();
    for (MachineName h : strays.keySet()) {
      MachineAssignment l = lent.get(h);
      if (l != null) {
        byPart.merge(l.part(), 1, Integer::sum);
      }
    }
    return byPart;
  }

  /** All questions since the last round go to an owner in one message. */
  private void sendQuestions() {
    statusQueries.forEach(
        (part, byId) -> {
          OwnerInfo o = owners.get(part);
          List<JobId> ids = byId.keySet().stream().limit(PeerMessages.MAX_ASKED).toList();
          Map<JobId, List<StatusQueries.OnStanding>> sent = new LinkedHashMap<>(byId);
          if (o == null) {
            sent.values().forEach(l -> l.forEach(t -> t.told(null)));
            return;
          }
          ports.peer(
              o.label(),
              PeerMessages.ASK,
              PeerMessages.ask(part, ids),
              ASK_MS,
              (status, body) -> {
                Map<JobId, JobStatus> told =
                    status == 200 ? PeerMessages.told(body) : Map.<JobId, JobStatus>of();
                sent.forEach((id, l) -> l.forEach(t -> t.told(told.get(id))));
              });
        });
    statusQueries.clear();
  }

  private void peerBeat(Input.Request r) {
    Heartbeat b = PeerMessages.readHeartbeat(Json.parse(r.body()));
    if (b == null) {
      malformed(r, "beat");
      return;
    }
    ports.peerHeard();
    if (b.stateOk()) {
      othersStateOk = true;
      othersAt = ports.now();
    } else if (ports.now().since(othersAt) > 2000) {
      othersStateOk = false;
    }
    HeartbeatAnswer a = leader.beat(b);
    if (a == null) {
      ports.reply(r.reply(), 503, Json.object().put("stateOk", ports.stateOk()));
    } else {
      ports.reply(r.reply(), 200, PeerMessages.write(a));
    }
  }

  private void report(Input.Request r) {
    WorkerHeartbeat w = WorkerMessages.read(Json.parse(r.body()));
    if (w == null) {
      ports.refused("report.malformed", "malformed report refused");
      ports.reply(r.reply(), 400, Json.error("malformed report"));
      return;
    }
    route(new Sheltered(r.reply(), w, ports.now()));
  }

  /** A report that waits until this process knows where it belongs. */
  private record Sheltered(long reply, WorkerHeartbeat report, MonotonicTime since) {}

  /** A report that waits holds its connection, and there are no more than sockets. */
  private int mostSheltered() {
    return ports.config.limits().sockets();
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
    MachineAssignment known = lent.get(w.host());
    boolean unclear =
        known == null ? answeredAt == MonotonicTime.NEVER : !owners.containsKey(known.part());
    if (unclear
        && ports.now().since(startedAt) < YOUNG_MS
        && ports.now().since(one.since()) < SHELTER_MS
        && sheltered.size() < mostSheltered()) {
      // A process that has just begun will know in a moment. A worker that is sent away comes back
      // after a second at the earliest, and its lease may be short: after the end of all
      // controllers most of the tasks would be lost by that.
      sheltered.add(one);
      return;
    }
    if (known == null) {
      seen.put(w.host(), new MachineInfo(w.host(), w.type(), w.zone(), w.spot()));
      beatAt = ports.now().plus(100).before(beatAt) ? ports.now().plus(100) : beatAt;
      ControllerName l = election.leader();
      ports.reply(
          reply,
          421,
          WorkerMessages.elsewhere(l == null || l.equals(ports.config.label()) ? null : l));
      return;
    }
    ShardId part = known.part();
    ShardOwner s = shardOwners.get(part);
    if (s != null) {
      boolean alone = ports.aloneMs() > 4000;
      if (s.valid() || s.inGrace(alone)) {
        if (s.informed()) {
          s.report(reply, w, s.valid());
          return;
        }
        if (s.storeAsOf() == MonotonicTime.NEVER
            && ports.now().since(one.since()) < SHELTER_MS
            && sheltered.size() < mostSheltered()) {
          // A new owner will have read the records in a moment.
          sheltered.add(one);
          return;
        }
        ports.count("report.uninformed");
      }
      ports.reply(reply, 503, Json.error("not entitled now"));
      return;
    }
    strays.put(w.host(), ports.now());
    OwnerInfo o = owners.get(part);
    ports.reply(
        reply,
        421,
        WorkerMessages.elsewhere(
            o == null || o.label().equals(ports.config.label()) ? null : o.label()));
  }

  // ---- beats ---------------------------------------------------------------------------------

  private void beat() {
    MonotonicTime now = ports.now();
    ControllerName to = election.leader();
    int renew = ports.tuning.renewMs();
    beatAt = now.plus(renew - renew / 10 + ports.random().nextInt(renew / 5 + 1));
    List<ShardReport> parts = new ArrayList<>();
    shardOwners.values().stream().filter(s -> !s.relinquished()).forEach(s -> parts.add(s.beat()));
    refused.forEach((part, epoch) -> parts.add(ShardReport.refused(part, epoch)));
    List<MachineInfo> met = someSeen();
    if (!seen.isEmpty()) {
      // The rest goes at once with the next, not an interval later.
      beatAt = now.plus(100);
    }
    Heartbeat b =
        new Heartbeat(
            ports.config.label(),
            ports.writer,
            ports.stateOk(),
            lendVersion,
            parts,
            met,
            strays(),
            announcement);
    if (election.holding()) {
      HeartbeatAnswer a = leader.beat(b);
      if (a != null) {
        answered(a, now);
      }
      return;
    }
    if (to == null) {
      beatAt = now.plus(150);
      return;
    }
    beating = true;
    ports.peer(
        to,
        PeerMessages.BEAT,
        PeerMessages.write(b),
        Math.max(500, renew * 2),
        (status, body) -> {
          beating = false;
          HeartbeatAnswer a = status == 200 ? PeerMessages.readAnswer(body) : null;
          if (status == 200 && a == null) {
            ports.refused("peer.malformed", "malformed answer of the leader refused");
          }
          if (a != null) {
            answered(a, now);
          } else {
            if (status == 503 && !body.path("stateOk").asBoolean(true)) {
              othersStateOk = false;
            }
            beatAt = ports.now().plus(300);
          }
        });
  }

  /**
   * While the leader's answers don't come, the store says who owns what. Without it controllers
   * would go on naming an owner that has been replaced, and workers would be sent back to it for
   * ever.
   */
  private void lookUpOwners() {
    MonotonicTime now = ports.now();
    if (now.since(answeredAt) < STALE_MS || ownersBusy || now.before(ownersAt)) {
      return;
    }
    ownersBusy = true;
    ports.state(
        "GET",
        StoreMessages.list(Leader.PART, "", 200),
        null,
        1500,
        (status, body) -> {
          ownersBusy = false;
          ownersAt = ports.now().plus(800 + ports.random().nextInt(400));
          if (status == 200) {
            StoreMessages.entries(body).forEach(e -> owner(Leader.owner(e.value())));
          }
        });
  }

  private void owner(OwnerInfo o) {
    OwnerInfo known = owners.get(o.part());
    if (known == null || o.epoch().above(known.epoch())) {
      owners.put(o.part(), o);
    }
    ShardOwner s = shardOwners.get(o.part());
    if (s != null && o.epoch().above(s.epoch()) && !o.label().equals(ports.config.label())) {
      giveUp(o.part(), "owner is " + o.label() + " at epoch " + o.epoch());
    }
  }

  private void giveUp(ShardId part, String why) {
    ShardOwner s = shardOwners.remove(part);
    givenUp.merge(part, s.epoch(), (a, b) -> a.above(b) ? a : b);
    s.end(why);
  }

  /**
   * What was given up under an epoch is not taken again under it: workers have shown it and have
   * been given numbers under it, so late reports could not be told from new ones, nor would our
   * answers be taken. Reported like a refused epoch, it makes the leader mint above it.
   */
  private boolean usedUp(Lease l) {
    Epoch last = givenUp.get(l.part());
    return last != null && !l.epoch().above(last);
  }

  private void answered(HeartbeatAnswer a, MonotonicTime sent) {
    answeredAt = ports.now();
    if (announcement != null) {
      gate.observe(a.rollout());
    }
    othersStateOk = a.othersStateOk() || !election.holding();
    othersAt = ports.now();
    owners.clear();
    a.owners().forEach(this::owner);
    // A part we hold that the leader neither renews nor gives to another is being taken back. The
    // next heartbeat, without the part, tells the leader that it is free.
    shardOwners.forEach(
        (part, shardOwner) -> {
          boolean kept = a.leases().stream().anyMatch(l -> l.part().equals(part));
          if (!kept && shardOwner.relinquish("not renewed by the leader")) {
            beatAt = ports.now();
          }
        });
    boolean news = a.whole() || a.lendVersion() != lendVersion;
    lendVersion = a.lendVersion();
    if (a.whole()) {
      lent.clear();
    }
    a.lent().forEach(l -> lent.put(l.host().name(), l));
    a.off().forEach(lent::remove);
    for (Lease l : a.leases()) {
      // Counted from before the request was sent, so that no delay can lengthen it.
      MonotonicTime until = sent.plus(l.ttlMs() - l.ttlMs() / 500 - 20);
      ShardOwner s = shardOwners.get(l.part());
      if (s != null && l.epoch().above(s.epoch()) && !s.valid()) {
        // Since the lease lapsed another may have owned the part: what we remember is not true.
        giveUp(l.part(), "its lease had lapsed before epoch " + l.epoch());
        s = null;
      }
      if (s == null && usedUp(l)) {
        refused.put(l.part(), l.epoch());
        beatAt = ports.now().plus(100);
        continue;
      }
      refused.remove(l.part());
      if (s == null) {
        s =
            new ShardOwner(
                ports, cancellations, gate, l.part(), l.epoch(), ports.now(), sharesEnabled);
        s.catalog(catalog);
        s.custody().assignedAll(lent.values());
        s.load();
        shardOwners.put(l.part(), s);
      }
      s.lease(l.epoch(), until);
    }
    long owned = shardOwners.values().stream().filter(s -> !s.relinquished()).count();
    ports.share((double) owned / ports.tuning.parts(), election.holding());
    for (ShardOwner s : shardOwners.values()) {
      if (a.whole()) {
        s.custody().assignedAll(lent.values());
      } else {
        a.lent().forEach(s.custody()::assigned);
        a.off().forEach(s.custody()::unassigned);
      }
      s.custody().gone(a.gone());
      s.autoscaler.blocked(a.blocked());
    }
    if (news && shardOwners.values().stream().anyMatch(s -> !s.autoscaler.wants().isEmpty())) {
      // The leader takes wants only from an owner that knows the last lending: say so at once.
      beatAt = ports.now().plus(100);
    }
    ports.gauge("parts.owned", owned);
  }

  // ---- machine types -------------------------------------------------------------------------

  private void catalogWork() {
    MonotonicTime now = ports.now();
    if (catalogBusy || now.before(catalogAt)) {
      return;
    }
    catalogBusy = true;
    if (catalog.isEmpty()) {
      ports.state(
          "GET",
          StoreMessages.key(CATALOG),
          null,
          1500,
          (status, body) -> {
            catalogBusy = false;
            if (status == 200) {
              catalog(CloudMessages.catalog(StoreMessages.entry(body).value()));
              catalogStored = true;
              catalogAt = ports.now().plus(1000);
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
    ports.cloud(
        "GET",
        CloudMessages.CATALOG,
        null,
        4000,
        (status, body) -> {
          catalogBusy = false;
          Map<String, MachineType> c =
              status == 200 ? CloudMessages.catalog(body) : new TreeMap<String, MachineType>();
          if (c.isEmpty()) {
            catalogAt = ports.now().plus(1000);
            return;
          }
          catalogAt = ports.now().plus(60_000);
          catalog(c);
          if (!catalogStored && election.leading()) {
            catalogStored = true;
            // For controllers that start while the cloud can't be asked.
            ports.state(
                "POST",
                StoreMessages.MULTI,
                new StoreMessages.Txn()
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
    leader.catalog(c);
    shardOwners.values().forEach(s -> s.catalog(c));
  }

  /** The epochs of the parts whose workers this process may command at a moment, for observers. */
  public Map<ShardId, Epoch> commanded(MonotonicTime at) {
    Map<ShardId, Epoch> m = new TreeMap<>();
    shardOwners.forEach(
        (part, shardOwner) -> {
          if (shardOwner.validAt(at)) {
            m.put(part, shardOwner.epoch());
          }
        });
    return m;
  }

  /** The machines that this process may command at a moment, for observers. */
  public Set<MachineName> commandedMachines(MonotonicTime at) {
    Set<MachineName> machines = new HashSet<>();
    for (ShardOwner s : shardOwners.values()) {
      if (s.validAt(at)) {
        machines.addAll(s.custody().commanded());
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
