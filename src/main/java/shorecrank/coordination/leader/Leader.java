package shorecrank.coordination.leader;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import shorecrank.config.NodeConfig;
import shorecrank.coordination.leader.MachineDirectory.Machine;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.FencingToken;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.Json;
import shorecrank.protocol.PeerMessages;
import shorecrank.protocol.PeerMessages.Heartbeat;
import shorecrank.protocol.PeerMessages.HeartbeatAnswer;
import shorecrank.protocol.PeerMessages.Lease;
import shorecrank.protocol.PeerMessages.MachineInfo;
import shorecrank.protocol.PeerMessages.OwnerInfo;
import shorecrank.protocol.PeerMessages.ShardReport;
import shorecrank.protocol.PeerMessages.WorkerReachability;
import shorecrank.protocol.StoreMessages;
import shorecrank.rebalance.MoveCoordinator;
import shorecrank.rebalance.ShareSettings;
import shorecrank.rollout.FeatureGate;
import shorecrank.rollout.RolloutCoordinator;

/** The leading controller's work: epochs, shard leases, and which shard gets which machine. */
public final class Leader implements ShardTable {
  private static final String EPOCH = "epoch";
  public static final String PART = "part/";
  private static final int CALL_MS = 1500;

  private static final class Node {
    WriterId writer;
    boolean stateOk;
    MonotonicTime stateBadSince = MonotonicTime.NEVER;
    MonotonicTime heard = MonotonicTime.NEVER;
    Map<ShardId, Integer> misroutedWorkers = Map.of();
  }

  private static final class Part {
    ControllerName owner;
    WriterId writer;
    Epoch epoch = Epoch.NONE;
    MonotonicTime leaseUntil = MonotonicTime.NEVER;
    boolean vacant = true;
    boolean revoking;
    boolean minting;

    /** While an epoch is being minted, the process that is to own the shard under it. */
    WriterId mintingFor;

    boolean queued;

    /**
     * Whom the workers don't reach, and in which zones they are, when it was last moved for that.
     */
    ControllerName unreached;

    List<String> unreachedBy = List.of();
    MonotonicTime movedAt = MonotonicTime.NEVER;
  }

  /** So many heartbeats an owner may miss at the end of an outage before it counts as lost. */
  private static final long OWNER_HEARTBEATS = 3;

  /** An owner without the state service, while others have it, is replaced after so long. */
  private static final int STATE_BAD_MS = 2000;

  /** A part is not moved again so soon for its owner's bad hearing. */
  private static final int MOVE_PAUSE_MS = 20_000;

  /** So long an owner that workers did not reach is not chosen again. */
  private static final int AVOID_MS = 60_000;

  /** What a controller's duties count when an owner is chosen: a shard more than leading. */
  private static final int LEADER_LOAD = 64;

  private static final int SHARD_LOAD = 128;

  /** A shard in the same zone, of which there are 64 at the most. */
  private static final int ZONE_LOAD = 1;

  private static final int UNREACHED_ZONE_LOAD = 100_000;
  private static final int UNREACHED_OWNER_LOAD = 100_000_000;

  private final StepContext context;
  private final Election election;
  private final RolloutCoordinator rollout;
  private final FeatureGate gate;
  private final Map<ControllerName, Node> nodes = new TreeMap<>();
  private final Map<ShardId, Part> shards = new TreeMap<>();
  private final MachineDirectory machines;
  private final CloudProvisioner cloud;
  private final MachineAssigner assigner;

  /** The assigner where shares are enabled; else null. */
  private final ShareAssigner shareAssigner;

  private Revision loadedTerm = Revision.ABSENT;

  /**
   * Shards for which a new owner may yet be written down by a transaction without an answer. The
   * next committed mint settles it, since all are guarded by the counter's revision; before that
   * the last owner gets no lease.
   */
  private final Set<ShardId> ownerInDoubt = new TreeSet<>();

  private Revision doubtTerm = Revision.ABSENT;

  /** The grant was in doubt for a while, so no lease could be granted. */
  private boolean interrupted;

  private boolean loading;
  private MonotonicTime loadRetryAt = new MonotonicTime(0);
  private Revision epochRevision = Revision.ABSENT;
  private long epochCounter;
  private boolean minting;

  /** The term of the latest mint, and its number: an earlier one's answer says nothing new. */
  private Revision mintTerm = Revision.ABSENT;

  private long mints;

  /**
   * @param rollout says which controllers may own shards; null if rollouts are not enabled
   * @param shares the operators' settings of shares; null if those are not enabled
   */
  public Leader(
      StepContext context,
      Election election,
      RolloutCoordinator rollout,
      FeatureGate gate,
      ShareSettings shares) {
    this.context = context;
    this.election = election;
    this.rollout = rollout;
    this.gate = gate;
    this.machines = new MachineDirectory(context, election, () -> loadedTerm);
    this.shareAssigner =
        shares == null
            ? null
            : new ShareAssigner(context, election, rollout, gate, shares, machines, this);
    this.assigner =
        shares == null ? new SpareMachineAssigner(context, machines, this) : shareAssigner;
    this.cloud =
        new CloudProvisioner(context, machines, () -> loadedTerm, this::assign, this::meet);
  }

  public void catalog(Map<String, MachineType> c) {
    cloud.catalog(c);
    if (shareAssigner != null) {
      shareAssigner.catalog(c);
    }
  }

  /** Moves of machines between shards; null if shares are not enabled. */
  public MoveCoordinator moves() {
    return shareAssigner == null ? null : shareAssigner.moves();
  }

  boolean ready() {
    boolean levelKnown = rollout == null || rollout.ready();
    boolean loaded = election.leading() && loadedTerm.equals(election.term());
    return loaded && levelKnown && assigner.ready();
  }

  public void tick() {
    if (!election.leading()) {
      interrupted = true;
      return;
    }
    if (rollout != null) {
      // What may be written is known here before any heartbeat is answered.
      gate.observe(rollout.notice());
    }
    assigner.look();
    if (!ready()) {
      boolean loaded = loadedTerm.equals(election.term());
      if (!loaded && !loading && !isUnsettled() && !context.now().before(loadRetryAt)) {
        load();
      }
      return;
    }
    if (interrupted) {
      interrupted = false;
      awaitOwners();
    }
    assignParts();
    assigner.tick();
    if (!assigner.inDoubt()) {
      machines.save();
    }
    cloud.tick();
  }

  /**
   * Whether a write of this term has no answer yet. What is read meanwhile could be out of date by
   * it: an owner would be granted a lease beside a successor that is being written down.
   */
  private boolean isUnsettled() {
    boolean mintOpen = minting && mintTerm.equals(election.term());
    return mintOpen || assigner.inDoubt();
  }

  /**
   * The same term goes on after a time in which no lease could be granted, as an outage of the
   * state service leaves it. Owners that live are heard within a few heartbeats; only then does an
   * ended lease say anything about its owner.
   */
  private void awaitOwners() {
    MonotonicTime heardBy = context.now().plus(context.tuning.renewMs() * OWNER_HEARTBEATS);
    for (Part p : shards.values()) {
      if (p.leaseUntil.before(heardBy)) {
        p.leaseUntil = heardBy;
      }
    }
  }

  // ---- taking office -------------------------------------------------------------------------

  private void load() {
    loading = true;
    Revision term = election.term();
    context.state(
        "GET",
        StoreMessages.key(EPOCH),
        null,
        CALL_MS,
        (status, body) -> {
          if (status == 200) {
            epochRevision = StoreMessages.entry(body).revision();
            epochCounter = Json.count(body.path("data").path("v"));
            if (epochCounter < 0) {
              // Taken for 0, epochs would begin again.
              context.unreadable(EPOCH);
              loadLater();
              return;
            }
          } else if (status == 404) {
            epochRevision = Revision.ABSENT;
            epochCounter = 0;
          } else {
            loadLater();
            return;
          }
          loadParts(term);
        });
  }

  private void loadLater() {
    loading = false;
    loadRetryAt = context.now().plus(300);
  }

  private void loadParts(Revision term) {
    context.state(
        "GET",
        StoreMessages.list(PART, "", 200),
        null,
        CALL_MS,
        (status, body) -> {
          if (status != 200) {
            loadLater();
            return;
          }
          shards.clear();
          for (int i = 0; i < context.tuning.shards(); i++) {
            shards.put(new ShardId(i), new Part());
          }
          for (StoreMessages.Entry e : StoreMessages.entries(body)) {
            OwnerInfo o = owner(e.value());
            Part p = shards.get(o.shard());
            if (p == null) {
              continue;
            }
            p.owner = o.label();
            p.writer = new WriterId(Json.text(e.value().path("writer")));
            p.epoch = o.epoch();
            p.vacant = false;
            // The last leader may have renewed the lease just before its term ended.
            p.leaseUntil = context.now().plus(leaseBound());
          }
          if (!term.equals(doubtTerm)) {
            // What an earlier term sent is refused, for the leader's key has changed.
            ownerInDoubt.clear();
          }
          ownerInDoubt.forEach(id -> shards.get(id).vacant = true);
          machines.load(read -> machinesRead(term, read));
        });
  }

  /** What the record of a part says. */
  public static OwnerInfo owner(JsonNode shard) {
    return new OwnerInfo(
        new ShardId((int) Json.count(shard.path("part"))),
        new ControllerName(Json.text(shard.path("label"))),
        new Epoch(shard.path("epoch").asLong()));
  }

  private long leaseBound() {
    return context.tuning.leaseMs() + context.tuning.leaseMs() / 500 + 20;
  }

  private void machinesRead(Revision term, boolean read) {
    if (!read) {
      loadLater();
      return;
    }
    loading = false;
    if (election.term().equals(term) && election.leading()) {
      loadedTerm = term;
      nodes.clear();
      minting = false;
      machines.began(term);
      assigner.began();
      cloud.began();
      context.info(
          "term %s: epochs up to %d, %d machines known", term, epochCounter, machines.size());
    }
  }

  // ---- beats and leases ----------------------------------------------------------------------

  /** Null while this controller can't answer for the leader. */
  public HeartbeatAnswer heartbeat(Heartbeat b) {
    if (!ready()) {
      return null;
    }
    MonotonicTime now = context.now();
    Node node = nodes.computeIfAbsent(b.from(), k -> new Node());
    node.heard = now;
    node.writer = b.writer();
    if (b.stateOk()) {
      node.stateBadSince = MonotonicTime.NEVER;
    } else if (node.stateOk || node.stateBadSince == MonotonicTime.NEVER) {
      node.stateBadSince = now;
    }
    node.stateOk = b.stateOk();
    node.misroutedWorkers = b.misroutedWorkers();
    if (rollout != null) {
      rollout.heard(b.from(), b.writer(), b.announcement());
    }

    List<Lease> leases = new ArrayList<>();
    for (Map.Entry<ShardId, Part> e : shards.entrySet()) {
      Part p = e.getValue();
      if (!b.from().equals(p.owner) || p.vacant) {
        continue;
      }
      if (!b.writer().equals(p.writer)) {
        // One label, one process: the one that held the lease has ended.
        context.info("part %s: owner %s restarted", e.getKey(), p.owner);
        p.vacant = true;
        continue;
      }
      ShardReport pb = null;
      for (ShardReport x : b.shards()) {
        if (x.shard().equals(e.getKey())) {
          pb = x;
        }
      }
      if (!p.revoking && lacksState(node) && anyOtherOk(b.from())) {
        context.info(
            "part %s: %s has no state service, others have: taken back", e.getKey(), p.owner);
        p.revoking = true;
      }
      if (!p.revoking && !mayOwn(b.from())) {
        p.revoking = true;
      }
      if (p.revoking && pb == null) {
        p.vacant = true;
        continue;
      }
      if (p.revoking) {
        continue;
      }
      if (p.minting && !b.writer().equals(p.mintingFor)) {
        // Its lease has lapsed and a successor is being written down: a lease granted now would
        // still run when that is committed.
        continue;
      }
      if (pb != null) {
        takeFence(e.getKey(), p, pb);
        p.queued = pb.queued();
        if (unreached(e.getKey(), p, pb.hearing())) {
          context.info(
              "part %s: %s hears %d of %d machines, others hear them: taken back",
              e.getKey(),
              p.owner,
              pb.hearing().expected() - pb.hearing().unheard(),
              pb.hearing().expected());
          context.count("part.unreached");
          p.unreached = p.owner;
          p.unreachedBy = pb.hearing().unreachableZones();
          p.movedAt = now;
          p.revoking = true;
          continue;
        }
      }
      p.leaseUntil = now.plus(leaseBound());
      leases.add(new Lease(e.getKey(), p.epoch, context.tuning.leaseMs()));
    }
    for (ShardReport pb : b.shards()) {
      Part p = shards.get(pb.shard());
      if (p != null && b.writer().equals(p.writer) && pb.epoch().equals(p.epoch)) {
        take(pb, b.assignmentVersion());
      } else if (pb.fenced().value() > 0) {
        context.info(
            "part %s: refused epoch %s reported by %s, not its owner: moves nothing",
            pb.shard(), pb.fenced(), b.from());
      }
    }
    for (MachineInfo h : b.seen()) {
      meet(h, "seen by " + b.from());
    }
    return answer(b, leases);
  }

  /**
   * Whether many workers don't reach the part's owner but do reach other controllers, one of which
   * all of them are likely to reach. Their leases would run out, although nothing is wrong with
   * them.
   */
  private boolean unreached(ShardId id, Part p, WorkerReachability h) {
    MonotonicTime now = context.now();
    if (h.unheard() < 2 || h.unheard() * 5 < h.expected() || now.since(p.movedAt) < MOVE_PAUSE_MS) {
      return false;
    }
    int elsewhere = 0;
    boolean another = false;
    for (Map.Entry<ControllerName, Node> e : nodes.entrySet()) {
      Node n = e.getValue();
      if (e.getKey().equals(p.owner) || !canServe(n)) {
        continue;
      }
      elsewhere += n.misroutedWorkers.getOrDefault(id, 0);
      // Few are worth a move only to where the rest is not lost for them.
      another |=
          h.unheard() * 3 > h.expected() * 2
              || !(h.unreachableZones().contains(location(e.getKey()))
                  || location(e.getKey()).equals(location(p.owner)));
    }
    return another && elsewhere * 2 >= h.unheard();
  }

  /** Whether a controller may own shards at the feature level in force, with its settings. */
  private boolean mayOwn(ControllerName label) {
    String reason = rollout == null ? null : rollout.reasonAgainstOwner(label);
    if (reason != null) {
      context.refused(
          "shard.owner_refused",
          "owner refused controller=" + label + " reason=\"" + reason + "\"");
    }
    return reason == null;
  }

  /**
   * Whether a controller alone is without the state service: after an outage it gets as long to
   * notice the end as it would get to notice the beginning.
   */
  private boolean lacksState(Node n) {
    if (n.stateBadSince == MonotonicTime.NEVER) {
      return false;
    }
    MonotonicTime since =
        n.stateBadSince.before(context.stateOkSince()) ? context.stateOkSince() : n.stateBadSince;
    return context.now().since(since) > STATE_BAD_MS;
  }

  private boolean canServe(Node n) {
    return n.stateOk && context.now().since(n.heard) <= context.tuning.renewMs() * 2L + 500;
  }

  private String location(ControllerName l) {
    for (NodeConfig.Member m : context.config.members()) {
      if (m.label().equals(l)) {
        return m.location();
      }
    }
    return context.config.zone();
  }

  private boolean anyOtherOk(ControllerName not) {
    if (!not.equals(context.config.label()) && context.stateOk()) {
      return true;
    }
    for (Map.Entry<ControllerName, Node> e : nodes.entrySet()) {
      Node n = e.getValue();
      if (!e.getKey().equals(not) && n.stateOk && context.now().since(n.heard) < 3000) {
        return true;
      }
    }
    return false;
  }

  private void takeFence(ShardId id, Part p, ShardReport pb) {
    Epoch f = pb.fenced();
    // Only the owner's own report, at its own epoch, moves the counter; and never by a jump that
    // would walk it to its end.
    if (f.value() >= p.epoch.value()
        && pb.epoch().equals(p.epoch)
        && f.value() < FencingToken.MAX_EPOCH / 2
        && !p.minting) {
      context.info("part %s: owner at epoch %s was refused by epoch %s", id, p.epoch, f);
      mint(id, p, p.owner, p.writer, f.value());
    }
  }

  private HeartbeatAnswer answer(Heartbeat b, List<Lease> leases) {
    List<OwnerInfo> owners = new ArrayList<>();
    shards.forEach(
        (id, p) -> {
          if (!p.vacant && !p.revoking) {
            owners.add(new OwnerInfo(id, p.owner, p.epoch));
          }
        });
    MachineDirectory.Changes changes =
        machines.changesSince(b.assignmentVersion(), shards.size() == 1);
    List<MachineName> gone =
        changes.whole()
            ? cloud.releasedLately()
            : changes.removed().stream().filter(cloud::wasReleased).toList();
    return new HeartbeatAnswer(
        election.term().value(),
        anyOtherOk(b.from()),
        leases,
        owners,
        machines.version(),
        changes.whole(),
        changes.assigned(),
        changes.removed(),
        gone,
        cloud.blocked(),
        rollout == null ? null : rollout.notice());
  }

  private void assignParts() {
    MonotonicTime now = context.now();
    for (Map.Entry<ShardId, Part> e : shards.entrySet()) {
      Part p = e.getValue();
      boolean lapsed = !p.vacant && p.leaseUntil.before(now);
      if ((!p.vacant && !lapsed) || p.minting || minting) {
        continue;
      }
      ControllerName best = null;
      int bestLoad = Integer.MAX_VALUE;
      for (Map.Entry<ControllerName, Node> n : nodes.entrySet()) {
        Node x = n.getValue();
        if (!canServe(x) || !mayOwn(n.getKey())) {
          continue;
        }
        int load = ownerLoad(p, n.getKey());
        if (load < bestLoad) {
          bestLoad = load;
          best = n.getKey();
        }
      }
      // Right after an election the other controllers get a moment to be heard.
      if (best != null && (nodes.size() > 1 || now.since(listedFirst()) > 0)) {
        if (lapsed) {
          context.info("part %s: lease of %s lapsed", e.getKey(), p.owner);
        }
        mint(e.getKey(), p, best, nodes.get(best).writer, 0);
      }
    }
  }

  /**
   * How unfit a controller is to own a shard beside what it does already: the lower the better.
   * Shards are spread over controllers first, then over zones.
   */
  private int ownerLoad(Part p, ControllerName candidate) {
    int load = candidate.equals(context.config.label()) ? LEADER_LOAD : 0;
    String at = location(candidate);
    if (p.unreached != null && context.now().since(p.movedAt) < AVOID_MS) {
      // Rather one that the workers reach: not the last, and not in its zone or in theirs.
      load += candidate.equals(p.unreached) ? UNREACHED_OWNER_LOAD : 0;
      boolean unreachedZone = at.equals(location(p.unreached)) || p.unreachedBy.contains(at);
      load += unreachedZone ? UNREACHED_ZONE_LOAD : 0;
    }
    for (Part q : shards.values()) {
      if (q != p && !q.vacant && candidate.equals(q.owner)) {
        load += SHARD_LOAD;
      } else if (q != p && !q.vacant && at.equals(location(q.owner))) {
        load += ZONE_LOAD;
      }
    }
    return load;
  }

  private MonotonicTime officeSince = MonotonicTime.NEVER;
  private Revision officeTerm = Revision.ABSENT;

  private MonotonicTime listedFirst() {
    if (!officeTerm.equals(loadedTerm)) {
      officeTerm = loadedTerm;
      officeSince = context.now();
    }
    return officeSince.plus(1500);
  }

  private void mint(ShardId id, Part p, ControllerName owner, WriterId writer, long above) {
    if (minting) {
      return;
    }
    minting = true;
    p.minting = true;
    p.mintingFor = writer;
    long next = Math.max(epochCounter, above) + 1;
    Revision term = loadedTerm;
    mintTerm = term;
    long number = ++mints;
    context.state(
        "POST",
        StoreMessages.MULTI,
        new StoreMessages.Transaction()
            .guard(election.key(), term)
            .guard(EPOCH, epochRevision)
            .write(EPOCH, Json.object().put("v", next))
            .write(
                PART + id,
                Json.object()
                    .put("part", id.value())
                    .put("label", owner.value())
                    .put("writer", writer.value())
                    .put("epoch", next))
            .body(),
        CALL_MS,
        (status, body) -> {
          if (number != mints) {
            return;
          }
          minting = false;
          p.minting = false;
          boolean unknown = status != 200 && !StoreMessages.notCarriedOut(status);
          if (unknown && term.equals(election.term()) && !owner.equals(p.owner)) {
            ownerInDoubt.add(id);
            doubtTerm = term;
          }
          if (status == 200 && term.equals(election.term())) {
            // Those before it were guarded by the counter's last revision.
            ownerInDoubt.clear();
          }
          if (!loadedTerm.equals(term)) {
            return;
          }
          if (status != 200) {
            // Also without an answer: what the counter holds now is only known after a new look,
            // and a later mint behind the same guard is what settles it.
            loadedTerm = Revision.ABSENT;
            loadRetryAt = context.now().plus(200);
            return;
          }
          epochRevision = new Revision(StoreMessages.revision(body));
          epochCounter = next;
          p.owner = owner;
          p.writer = writer;
          p.epoch = new Epoch(next);
          assigner.minted(id);
          p.vacant = false;
          p.revoking = false;
          p.leaseUntil = context.now().plus(leaseBound());
          context.info("part %s: epoch %d minted for %s (%s)", id, next, owner, writer);
          context.count("epoch.minted");
          // The owner begins at once, and the others can tell the workers where to go.
          for (NodeConfig.Member m : context.config.members()) {
            context.peer(m.label(), PeerMessages.HEARTBEAT_NOW, Json.object(), 1000, (s, b) -> {});
          }
        });
  }

  // ---- machines ------------------------------------------------------------------------------

  private void meet(MachineInfo h, String how) {
    if (machines.contains(h.name()) || cloud.isReleasing(h.name())) {
      return;
    }
    if (cloud.wasReleased(h.name())) {
      // It reports although its release was answered: a held report, or a list that lags.
      return;
    }
    context.info("machine %s: %s", h.name(), how);
    assign(h, assigner.shardOfNewcomer());
  }

  private void assign(MachineInfo info, ShardId shard) {
    Part p = shards.get(shard);
    machines.assign(info, shard, p == null ? Epoch.NONE : p.epoch);
  }

  /** What an owner asks for its part. */
  private void take(ShardReport pb, long knownVersion) {
    for (MachineName h : pb.retire()) {
      Machine machine = machines.get(h);
      // A machine no longer known may have been released by a leader that could not say so.
      boolean theirs = machine == null ? !cloud.wasReleased(h) : machine.shard.equals(pb.shard());
      if (theirs) {
        cloud.giveBack(h);
      }
    }
    assigner.reported(pb);
    // An owner that has not yet seen the last lending would ask for the same machines again.
    boolean allTold = shards.size() == 1 || machines.isWritten();
    if (knownVersion == machines.version() && allTold && cloud.isIdle()) {
      cloud.request(pb.shard(), pb.capacityRequests());
    }
  }

  // ---- shards for others -----------------------------------------------------------------------

  @Override
  public Set<ShardId> shards() {
    return shards.keySet();
  }

  @Override
  public Epoch epoch(ShardId shard) {
    Part p = shards.get(shard);
    return p == null ? Epoch.NONE : p.epoch;
  }

  @Override
  public ControllerName owner(ShardId shard) {
    Part p = shards.get(shard);
    return p == null || p.vacant || p.revoking ? null : p.owner;
  }

  @Override
  public void reload() {
    loadedTerm = Revision.ABSENT;
  }

  @Override
  public boolean hasQueue(ShardId shard) {
    Part p = shards.get(shard);
    return p != null && p.queued;
  }

  @Override
  public void raiseAbove(ShardId shard, Epoch least) {
    Part p = shards.get(shard);
    if (p != null && !p.vacant && !p.minting) {
      mint(shard, p, p.owner, p.writer, least.value());
    }
  }
}
