package shorecrank.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import shorecrank.config.NodeConfig;
import shorecrank.protocol.CloudMessages;
import shorecrank.protocol.CloudMessages.HostType;
import shorecrank.protocol.CloudMessages.Listed;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.HostName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.NodeLabel;
import shorecrank.protocol.Ids.PartId;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Ids.Token;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.Json;
import shorecrank.protocol.PeerMessages;
import shorecrank.protocol.PeerMessages.Blocked;
import shorecrank.protocol.PeerMessages.CapacityRequest;
import shorecrank.protocol.PeerMessages.Heartbeat;
import shorecrank.protocol.PeerMessages.HeartbeatAnswer;
import shorecrank.protocol.PeerMessages.HostInfo;
import shorecrank.protocol.PeerMessages.Lease;
import shorecrank.protocol.PeerMessages.MachineAssignment;
import shorecrank.protocol.PeerMessages.OwnerInfo;
import shorecrank.protocol.PeerMessages.ShardReport;
import shorecrank.protocol.PeerMessages.WorkerReachability;
import shorecrank.protocol.StoreMessages;
import shorecrank.rollout.RolloutCoordinator;
import shorecrank.storage.Budget;

/** The leading controller's work: epochs, part leases, lending machines, dealing with the cloud. */
final class Leader {
  private static final String EPOCH = "epoch";
  static final String PART = "part/";
  private static final String HOSTS = "hosts/";

  /** Machines are written down many to a key: a change a machine would take seconds' budgets. */
  private static final int SHELVES = 32;

  private static final int CALL_MS = 1500;
  private static final int CLOUD_MS = 6000;

  private static final class Node {
    WriterId writer;
    boolean stateOk;
    MonotonicTime stateBadSince = MonotonicTime.NEVER;
    MonotonicTime heard = MonotonicTime.NEVER;
    Map<PartId, Integer> strays = Map.of();
  }

  private static final class Part {
    NodeLabel owner;
    WriterId writer;
    Epoch epoch = Epoch.NONE;
    MonotonicTime leaseUntil = MonotonicTime.NEVER;
    boolean vacant = true;
    boolean revoking;
    boolean minting;
    boolean queued;

    /**
     * Whom the workers don't reach, and in which zones they are, when it was last moved for that.
     */
    NodeLabel unreached;

    List<String> unreachedBy = List.of();
    MonotonicTime movedAt = MonotonicTime.NEVER;
  }

  private static final class Host {
    HostInfo info;
    PartId part;
    Epoch term;
    MonotonicTime since;
    boolean recall;
    MonotonicTime listedAt = MonotonicTime.NEVER;

    /** Whether the assignment stands in the store. */
    boolean recorded;

    /** The lending in which it last changed. */
    long version;
  }

  /** A machine that left the list of those lent. */
  private record Dropped(long version, HostName name) {}

  private record Claim(String name, Offer offer, int count, PartId part) {}

  /** So many claims are under way at once. */
  private static final int MAX_CLAIMS = 8;

  private static final int SAVE_PAUSE_MS = 1000;

  /** So many heartbeats an owner may miss at the end of an outage before it counts as lost. */
  private static final long OWNER_HEARTBEATS = 3;

  /** An owner without the state service, while others have it, is replaced after so long. */
  private static final int STATE_BAD_MS = 2000;

  /** A part is not moved again so soon for its owner's bad hearing. */
  private static final int MOVE_PAUSE_MS = 20_000;

  /** So long an owner that workers did not reach is not chosen again. */
  private static final int AVOID_MS = 60_000;

  /** A kind that was refused is asked for again after so long, then twice that, up to the most. */
  private static final long BLOCK_MS = 4_000;

  private static final long BLOCK_MAX_MS = 10_000;

  /**
   * At least so many removed assignments are kept, and as many as there are machines: a controller
   * that lags further behind gets all assignments, which is then the shorter message.
   */
  private static final int MIN_KEPT_REMOVALS = 1000;

  /** An owner's request for more machines than the cloud could rent in this time is cut there. */
  private static final int REQUEST_HORIZON_S = 60;

  /** Listing the machines may take this share of the cloud's calls. */
  private static final double LISTING_SHARE = 0.3;

  /** The machine list is read again after so long at the earliest. */
  private static final long LIST_PAUSE_MS = 5000;

  /** While no machine is known the list is read more often. */
  private static final long EMPTY_LIST_PAUSE_MS = 1000;

  /** A page that must wait for the cloud's rate limit is tried again after so long. */
  private static final long PAGE_RETRY_MS = 200;

  private final Ports ports;
  private final Election election;
  private final RolloutCoordinator rollout;
  private final Map<NodeLabel, Node> nodes = new TreeMap<>();
  private final Map<PartId, Part> parts = new TreeMap<>();
  private final Map<HostName, Host> hosts = new TreeMap<>();
  private final Map<HostName, MonotonicTime> released = new HashMap<>();
  private final Map<Offer, MonotonicTime> blockedUntil = new LinkedHashMap<>();
  private final Map<Offer, Integer> refusals = new HashMap<>();
  private final Set<HostName> toRelease = new LinkedHashSet<>();
  private final Set<HostName> releasing = new LinkedHashSet<>();
  private final ArrayDeque<Claim> claims = new ArrayDeque<>();

  /** Names of claims that may have been carried out. */
  private final Set<String> tried = new HashSet<>();

  private final Set<Integer> unsaved = new TreeSet<>();

  /**
   * The stamps of the shelves as last read or written: an own write without an answer may come
   * after a later one, and must not put what was there before in its place.
   */
  private final Map<String, Revision> shelfStamps = new TreeMap<>();

  private MonotonicTime saveAt = new MonotonicTime(0);
  private final Budget cloudCalls;
  private Revision loadedTerm = Revision.ABSENT;

  /**
   * Shards for which a new owner may yet be written down by a transaction without an answer. The
   * next committed mint settles it, since all are guarded by the counter's stamp; before that the
   * last owner gets no lease.
   */
  private final Set<PartId> ownerInDoubt = new TreeSet<>();

  private Revision doubtTerm = Revision.ABSENT;

  /** The grant was in doubt for a while, so no lease could be granted. */
  private boolean interrupted;

  private boolean loading;
  private MonotonicTime loadRetryAt = new MonotonicTime(0);
  private Revision epochStamp = Revision.ABSENT;
  private long epochCounter;
  private boolean minting;
  private boolean saving;
  private int claiming;
  private final ArrayDeque<Dropped> dropped = new ArrayDeque<>();
  private long droppedFloor;
  private boolean listing;

  /** The page of the machine list that is to be read next; null while none waits. */
  private ListedSoFar nextPage;

  private boolean releasingNow;
  private long claimCount;
  private long lendVersion;
  private MonotonicTime listAt = new MonotonicTime(0);
  private MonotonicTime cloudRetryAt = new MonotonicTime(0);
  private Map<String, HostType> catalog = Map.of();

  /**
   * @param rollout says which controllers may own shards; null if rollouts are not enabled
   */
  Leader(Ports ports, Election election, RolloutCoordinator rollout) {
    this.ports = ports;
    this.election = election;
    this.rollout = rollout;
    // Other controllers read the catalog now and then.
    this.cloudCalls = new Budget(ports.config.cloud().rps() * 0.9);
  }

  void catalog(Map<String, HostType> c) {
    catalog = c;
  }

  boolean ready() {
    boolean levelKnown = rollout == null || rollout.ready();
    return election.leading() && loadedTerm.equals(election.term()) && levelKnown;
  }

  void tick() {
    if (!election.leading()) {
      interrupted = true;
      return;
    }
    if (!ready()) {
      boolean loaded = loadedTerm.equals(election.term());
      if (!loaded && !loading && !ports.now().before(loadRetryAt)) {
        load();
      }
      return;
    }
    if (interrupted) {
      interrupted = false;
      awaitOwners();
    }
    assignParts();
    saveHosts();
    cloudWork();
  }

  /**
   * The same term goes on after a time in which no lease could be granted, as an outage of the
   * state service leaves it. Owners that live are heard within a few heartbeats; only then does an
   * ended lease say anything about its owner.
   */
  private void awaitOwners() {
    MonotonicTime heardBy = ports.now().plus(ports.tuning.renewMs() * OWNER_HEARTBEATS);
    for (Part p : parts.values()) {
      if (p.leaseUntil.before(heardBy)) {
        p.leaseUntil = heardBy;
      }
    }
  }

  // ---- taking office -------------------------------------------------------------------------

  private void load() {
    loading = true;
    Revision term = election.term();
    ports.state(
        "GET",
        StoreMessages.key(EPOCH),
        null,
        CALL_MS,
        (status, body) -> {
          if (status == 200) {
            epochStamp = StoreMessages.entry(body).revision();
            epochCounter = Json.count(body.path("data").path("v"));
            if (epochCounter < 0) {
              // Taken for 0, epochs would begin again.
              ports.unreadable(EPOCH);
              loadLater();
              return;
            }
          } else if (status == 404) {
            epochStamp = Revision.ABSENT;
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
    loadRetryAt = ports.now().plus(300);
  }

  private void loadParts(Revision term) {
    ports.state(
        "GET",
        StoreMessages.list(PART, "", 200),
        null,
        CALL_MS,
        (status, body) -> {
          if (status != 200) {
            loadLater();
            return;
          }
          parts.clear();
          for (int i = 0; i < ports.tuning.parts(); i++) {
            parts.put(new PartId(i), new Part());
          }
          for (StoreMessages.Entry e : StoreMessages.entries(body)) {
            OwnerInfo o = owner(e.value());
            Part p = parts.get(o.part());
            if (p == null) {
              continue;
            }
            p.owner = o.label();
            p.writer = new WriterId(Json.text(e.value().path("writer")));
            p.epoch = o.epoch();
            p.vacant = false;
            // The last leader may have renewed the lease just before its term ended.
            p.leaseUntil = ports.now().plus(leaseBound());
          }
          if (!term.equals(doubtTerm)) {
            // What an earlier term sent is refused, for the leader's key has changed.
            ownerInDoubt.clear();
          }
          ownerInDoubt.forEach(id -> parts.get(id).vacant = true);
          hosts.clear();
          shelfStamps.clear();
          loadHosts(term, "");
        });
  }

  /** What the record of a part says. */
  static OwnerInfo owner(JsonNode part) {
    return new OwnerInfo(
        new PartId((int) Json.count(part.path("part"))),
        new NodeLabel(Json.text(part.path("label"))),
        new Epoch(part.path("epoch").asLong()));
  }

  private long leaseBound() {
    return ports.tuning.leaseMs() + ports.tuning.leaseMs() / 500 + 20;
  }

  private void loadHosts(Revision term, String after) {
    ports.state(
        "GET",
        StoreMessages.list(HOSTS, after, 500),
        null,
        CALL_MS,
        (status, body) -> {
          if (status != 200) {
            loadLater();
            return;
          }
          String last = "";
          for (StoreMessages.Entry e : StoreMessages.entries(body)) {
            last = e.key();
            shelfStamp(e);
            for (JsonNode v : e.value().path("m")) {
              Host h = readHost(v);
              if (h == null) {
                // Met again, it is assigned anew.
                ports.unreadable(e.key());
              } else {
                hosts.put(h.info.name(), h);
              }
            }
          }
          if (StoreMessages.more(body) && !last.isEmpty()) {
            loadHosts(term, last);
            return;
          }
          loading = false;
          if (election.term().equals(term) && election.leading()) {
            loadedTerm = term;
            nodes.clear();
            claims.clear();
            tried.clear();
            unsaved.clear();
            toRelease.clear();
            releasing.clear();
            blockedUntil.clear();
            saving = false;
            claiming = 0;
            listing = false;
            nextPage = null;
            releasingNow = false;
            minting = false;
            // Above all that was told in this term, should this be a second look in it: else a
            // controller that lags could take later lendings for those it knows.
            lendVersion = Math.max(lendVersion + 1, term.value() << 20);
            dropped.clear();
            droppedFloor = lendVersion;
            listAt = ports.now();
            ports.info(
                "term %s: epochs up to %d, %d machines known", term, epochCounter, hosts.size());
          }
        });
  }

  /** A machine as it stands on its shelf; null if that makes no sense. */
  private Host readHost(JsonNode v) {
    String name = Json.text(v.path(0));
    long part = Json.count(v.path(4));
    long term = Json.count(v.path(5));
    if (name.isEmpty() || part < 0 || part >= ports.tuning.parts() || term < 0) {
      return null;
    }
    Host h = new Host();
    h.info =
        new HostInfo(
            new HostName(name), Json.text(v.path(1)), Json.text(v.path(2)), v.path(3).asBoolean());
    h.part = new PartId((int) part);
    h.term = new Epoch(term);
    h.since = ports.now();
    h.recorded = true;
    return h;
  }

  // ---- beats and leases ----------------------------------------------------------------------

  /** Null while this controller can't answer for the leader. */
  HeartbeatAnswer beat(Heartbeat b) {
    if (!ready()) {
      return null;
    }
    MonotonicTime now = ports.now();
    Node node = nodes.computeIfAbsent(b.from(), k -> new Node());
    node.heard = now;
    node.writer = b.writer();
    if (b.stateOk()) {
      node.stateBadSince = MonotonicTime.NEVER;
    } else if (node.stateOk || node.stateBadSince == MonotonicTime.NEVER) {
      node.stateBadSince = now;
    }
    node.stateOk = b.stateOk();
    node.strays = b.strays();
    if (rollout != null) {
      rollout.heard(b.from(), b.writer(), b.announcement());
    }

    List<Lease> leases = new ArrayList<>();
    for (Map.Entry<PartId, Part> e : parts.entrySet()) {
      Part p = e.getValue();
      if (!b.from().equals(p.owner) || p.vacant) {
        continue;
      }
      if (!b.writer().equals(p.writer)) {
        // One label, one process: the one that held the lease has ended.
        ports.info("part %s: owner %s restarted", e.getKey(), p.owner);
        p.vacant = true;
        continue;
      }
      ShardReport pb = null;
      for (ShardReport x : b.parts()) {
        if (x.part().equals(e.getKey())) {
          pb = x;
        }
      }
      if (!p.revoking && lacksState(node) && anyOtherOk(b.from())) {
        ports.info(
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
      if (pb != null) {
        takeFence(e.getKey(), p, pb);
        p.queued = pb.queued();
        if (unreached(e.getKey(), p, pb.hearing())) {
          ports.info(
              "part %s: %s hears %d of %d machines, others hear them: taken back",
              e.getKey(),
              p.owner,
              pb.hearing().expected() - pb.hearing().unheard(),
              pb.hearing().expected());
          ports.count("part.unreached");
          p.unreached = p.owner;
          p.unreachedBy = pb.hearing().deafTo();
          p.movedAt = now;
          p.revoking = true;
          continue;
        }
      }
      p.leaseUntil = now.plus(leaseBound());
      leases.add(new Lease(e.getKey(), p.epoch, ports.tuning.leaseMs()));
    }
    for (ShardReport pb : b.parts()) {
      Part p = parts.get(pb.part());
      if (p != null && b.writer().equals(p.writer) && pb.epoch().equals(p.epoch)) {
        take(pb, b.lendVersion());
      } else if (pb.fenced().value() > 0) {
        ports.info(
            "part %s: refused epoch %s reported by %s, not its owner: moves nothing",
            pb.part(), pb.fenced(), b.from());
      }
    }
    for (HostInfo h : b.seen()) {
      meet(h, "seen by " + b.from());
    }
    return answer(b, leases);
  }

  /**
   * Whether many workers don't reach the part's owner but do reach other controllers, one of which
   * all of them are likely to reach. Their leases would run out, although nothing is wrong with
   * them.
   */
  private boolean unreached(PartId id, Part p, WorkerReachability h) {
    MonotonicTime now = ports.now();
    if (h.unheard() < 2 || h.unheard() * 5 < h.expected() || now.since(p.movedAt) < MOVE_PAUSE_MS) {
      return false;
    }
    int elsewhere = 0;
    boolean another = false;
    for (Map.Entry<NodeLabel, Node> e : nodes.entrySet()) {
      Node n = e.getValue();
      if (e.getKey().equals(p.owner) || !canServe(n)) {
        continue;
      }
      elsewhere += n.strays.getOrDefault(id, 0);
      // Few are worth a move only to where the rest is not lost for them.
      another |=
          h.unheard() * 3 > h.expected() * 2
              || !(h.deafTo().contains(location(e.getKey()))
                  || location(e.getKey()).equals(location(p.owner)));
    }
    return another && elsewhere * 2 >= h.unheard();
  }

  /** Whether a controller may own shards at the feature level in force, with its settings. */
  private boolean mayOwn(NodeLabel label) {
    String reason = rollout == null ? null : rollout.reasonAgainstOwner(label);
    if (reason != null) {
      ports.refused(
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
        n.stateBadSince.before(ports.stateOkSince()) ? ports.stateOkSince() : n.stateBadSince;
    return ports.now().since(since) > STATE_BAD_MS;
  }

  private boolean canServe(Node n) {
    return n.stateOk && ports.now().since(n.heard) <= ports.tuning.renewMs() * 2L + 500;
  }

  private String location(NodeLabel l) {
    for (NodeConfig.Member m : ports.config.members()) {
      if (m.label().equals(l)) {
        return m.location();
      }
    }
    return ports.config.zone();
  }

  private boolean anyOtherOk(NodeLabel not) {
    if (!not.equals(ports.config.label()) && ports.stateOk()) {
      return true;
    }
    for (Map.Entry<NodeLabel, Node> e : nodes.entrySet()) {
      Node n = e.getValue();
      if (!e.getKey().equals(not) && n.stateOk && ports.now().since(n.heard) < 3000) {
        return true;
      }
    }
    return false;
  }

  private void takeFence(PartId id, Part p, ShardReport pb) {
    Epoch f = pb.fenced();
    // Only the owner's own report, at its own epoch, moves the counter; and never by a jump that
    // would walk it to its end.
    if (f.value() >= p.epoch.value()
        && pb.epoch().equals(p.epoch)
        && f.value() < Token.MAX_EPOCH / 2
        && !p.minting) {
      ports.info("part %s: owner at epoch %s was refused by epoch %s", id, p.epoch, f);
      mint(id, p, p.owner, p.writer, f.value());
    }
  }

  private HeartbeatAnswer answer(Heartbeat b, List<Lease> leases) {
    MonotonicTime now = ports.now();
    List<OwnerInfo> owners = new ArrayList<>();
    parts.forEach(
        (id, p) -> {
          if (!p.vacant && !p.revoking) {
            owners.add(new OwnerInfo(id, p.owner, p.epoch));
          }
        });
    // Who knows a lending of this term gets what changed since, others all of it.
    boolean whole = b.lendVersion() < droppedFloor || b.lendVersion() > lendVersion;
    List<MachineAssignment> lent = new ArrayList<>();
    List<HostName> off = new ArrayList<>();
    if (b.lendVersion() != lendVersion) {
      for (Host h : hosts.values()) {
        if (told(h) && (whole || h.version > b.lendVersion())) {
          lent.add(new MachineAssignment(h.info, h.part, now.since(h.since), h.recall));
        }
      }
      if (!whole) {
        for (Dropped d : dropped) {
          Host assigned = hosts.get(d.name);
          if (d.version > b.lendVersion() && (assigned == null || !told(assigned))) {
            off.add(d.name);
          }
        }
      }
    }
    List<HostName> gone = new ArrayList<>();
    if (whole) {
      released.forEach(
          (h, at) -> {
            if (now.since(at) < 60_000) {
              gone.add(h);
            }
          });
    } else {
      off.stream().filter(released::containsKey).forEach(gone::add);
    }
    List<Blocked> blocked = new ArrayList<>();
    blockedUntil.forEach(
        (o, until) -> {
          if (now.before(until)) {
            blocked.add(new Blocked(o, until.since(now)));
          }
        });
    return new HeartbeatAnswer(
        election.term().value(),
        anyOtherOk(b.from()),
        leases,
        owners,
        lendVersion,
        whole,
        lent,
        off,
        gone,
        blocked,
        rollout == null ? null : rollout.notice());
  }

  /**
   * Whether owners may be told of an assignment. With several shards only once it is written down:
   * the next leader would otherwise not know of it and might assign the machine to another shard
   * while it holds tasks. With one shard there is no other.
   */
  private boolean told(Host h) {
    return h.recorded || parts.size() == 1;
  }

  private void assignParts() {
    MonotonicTime now = ports.now();
    for (Map.Entry<PartId, Part> e : parts.entrySet()) {
      Part p = e.getValue();
      boolean lapsed = !p.vacant && p.leaseUntil.before(now);
      if ((!p.vacant && !lapsed) || p.minting || minting) {
        continue;
      }
      NodeLabel best = null;
      int bestLoad = Integer.MAX_VALUE;
      for (Map.Entry<NodeLabel, Node> n : nodes.entrySet()) {
        Node x = n.getValue();
        if (!canServe(x) || !mayOwn(n.getKey())) {
          continue;
        }
        int load = n.getKey().equals(ports.config.label()) ? 1 : 0;
        if (p.unreached != null && now.since(p.movedAt) < AVOID_MS) {
          // Rather one that the workers reach: not the last, and not in its zone or in theirs.
          String at = location(n.getKey());
          load += n.getKey().equals(p.unreached) ? 1_000_000 : 0;
          load += at.equals(location(p.unreached)) || p.unreachedBy.contains(at) ? 1000 : 0;
        }
        for (Part q : parts.values()) {
          if (q != p && !q.vacant && n.getKey().equals(q.owner)) {
            load += 2;
          }
        }
        if (load < bestLoad) {
          bestLoad = load;
          best = n.getKey();
        }
      }
      // Right after an election the other controllers get a moment to be heard.
      if (best != null && (nodes.size() > 1 || now.since(listedFirst()) > 0)) {
        if (lapsed) {
          ports.info("part %s: lease of %s lapsed", e.getKey(), p.owner);
        }
        mint(e.getKey(), p, best, nodes.get(best).writer, 0);
      }
    }
  }

  private MonotonicTime officeSince = MonotonicTime.NEVER;
  private Revision officeTerm = Revision.ABSENT;

  private MonotonicTime listedFirst() {
    if (!officeTerm.equals(loadedTerm)) {
      officeTerm = loadedTerm;
      officeSince = ports.now();
    }
    return officeSince.plus(1500);
  }

  private void mint(PartId id, Part p, NodeLabel owner, WriterId writer, long above) {
    if (minting) {
      return;
    }
    minting = true;
    p.minting = true;
    long next = Math.max(epochCounter, above) + 1;
    Revision term = loadedTerm;
    ports.state(
        "POST",
        StoreMessages.MULTI,
        new StoreMessages.Txn()
            .guard(election.key(), term)
            .guard(EPOCH, epochStamp)
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
          minting = false;
          p.minting = false;
          if (!loadedTerm.equals(term)) {
            return;
          }
          if (status != 200) {
            // Also without an answer: what the counter holds now is only known after a new look,
            // and a later mint behind the same guard is what settles it.
            loadedTerm = Revision.ABSENT;
            loadRetryAt = ports.now().plus(200);
            if (!StoreMessages.notCarriedOut(status) && !owner.equals(p.owner)) {
              ownerInDoubt.add(id);
              doubtTerm = term;
            }
            return;
          }
          ownerInDoubt.clear();
          epochStamp = new Revision(StoreMessages.revision(body));
          epochCounter = next;
          p.owner = owner;
          p.writer = writer;
          p.epoch = new Epoch(next);
          p.vacant = false;
          p.revoking = false;
          p.leaseUntil = ports.now().plus(leaseBound());
          ports.info("part %s: epoch %d minted for %s (%s)", id, next, owner, writer);
          ports.count("epoch.minted");
          // The owner begins at once, and the others can tell the workers where to go.
          for (NodeConfig.Member m : ports.config.members()) {
            ports.peer(m.label(), PeerMessages.NUDGE, Json.object(), 1000, (s, b) -> {});
          }
        });
  }

  // ---- machines ------------------------------------------------------------------------------

  private void meet(HostInfo h, String how) {
    if (hosts.containsKey(h.name()) || releasing.contains(h.name())) {
      return;
    }
    if (released.containsKey(h.name())) {
      // It reports although its release was answered: a held report, or a list that lags.
      return;
    }
    ports.info("machine %s: %s", h.name(), how);
    lend(h, neediest());
  }

  private PartId neediest() {
    PartId best = new PartId(0);
    if (parts.size() == 1) {
      return best;
    }
    long most = Long.MIN_VALUE;
    for (Map.Entry<PartId, Part> e : parts.entrySet()) {
      long have = 0;
      for (Host h : hosts.values()) {
        if (h.part.equals(e.getKey())) {
          have++;
        }
      }
      long need = (e.getValue().queued ? 1000 : 0) - have;
      if (need > most) {
        most = need;
        best = e.getKey();
      }
    }
    return best;
  }

  private void lend(HostInfo info, PartId part) {
    Host h = new Host();
    h.info = info;
    h.part = part;
    Part p = parts.get(part);
    h.term = p == null ? Epoch.NONE : p.epoch;
    h.since = ports.now();
    hosts.put(info.name(), h);
    unsaved.add(shelf(info.name()));
    h.version = ++lendVersion;
    ports.info("machine %s: lent to part %s under epoch %s", info.name(), part, h.term);
    ports.count("machine.lent");
  }

  private void shelfStamp(StoreMessages.Entry e) {
    shelfStamps.put(e.key(), e.revision());
  }

  /**
   * What stands on a shelf, in as many values as the store's limit on one asks for. One that was
   * needed before is written empty: every version reads all that is there.
   */
  private Map<String, ArrayNode> boards(int shelf, List<Host> on) {
    Map<String, ArrayNode> boards = new TreeMap<>();
    double max = ports.config.state().valueKb() * 1024 * 0.9;
    String key = HOSTS + shelf;
    ArrayNode board = Json.array();
    boards.put(key, board);
    int bytes = 20;
    for (Host h : on) {
      ArrayNode one =
          Json.array()
              .add(h.info.name().value())
              .add(h.info.type())
              .add(h.info.zone())
              .add(h.info.spot())
              .add(h.part.value())
              .add(h.term.value());
      int more = Json.bytes(one).length + 1;
      if (bytes + more > max && !board.isEmpty()) {
        board = Json.array();
        boards.put(key + "." + boards.size(), board);
        bytes = 20;
      }
      board.add(one);
      bytes += more;
    }
    for (String known : shelfStamps.keySet()) {
      if (known.startsWith(key + ".") && !boards.containsKey(known)) {
        boards.put(known, Json.array());
      }
    }
    return boards;
  }

  /** Something else is on the shelves than we wrote last: a write of ours that came late. */
  private void readShelfStamps() {
    saving = true;
    readShelfStamps("", new ArrayList<>());
  }

  private void readShelfStamps(String after, List<StoreMessages.Entry> read) {
    Revision term = loadedTerm;
    ports.state(
        "GET",
        StoreMessages.list(HOSTS, after, 500),
        null,
        CALL_MS,
        (status, body) -> {
          if (!loadedTerm.equals(term)) {
            return;
          }
          List<StoreMessages.Entry> page = status == 200 ? StoreMessages.entries(body) : List.of();
          read.addAll(page);
          if (StoreMessages.more(body) && !page.isEmpty()) {
            readShelfStamps(page.get(page.size() - 1).key(), read);
            return;
          }
          saving = false;
          if (status == 200) {
            shelfStamps.clear();
            read.forEach(this::shelfStamp);
          }
          saveAt = ports.now().plus(SAVE_PAUSE_MS);
        });
  }

  private static int shelf(HostName h) {
    return Math.floorMod(h.value().hashCode(), SHELVES);
  }

  private void saveHosts() {
    MonotonicTime now = ports.now();
    if (saving || unsaved.isEmpty() || now.before(saveAt)) {
      return;
    }
    int most = (int) Math.max(1, Math.min(ports.config.state().txnOps(), ports.writes.rate() / 2));
    Map<Integer, List<Host>> onShelf = new TreeMap<>();
    unsaved.forEach(shelf -> onShelf.put(shelf, new ArrayList<>()));
    for (Host h : hosts.values()) {
      List<Host> on = onShelf.get(shelf(h.info.name()));
      if (on != null) {
        on.add(h);
      }
    }
    List<Integer> batch = new ArrayList<>();
    Map<String, ArrayNode> values = new TreeMap<>();
    int bytes = 0;
    for (Map.Entry<Integer, List<Host>> e : onShelf.entrySet()) {
      Map<String, ArrayNode> boards = boards(e.getKey(), e.getValue());
      int more = boards.values().stream().mapToInt(board -> Json.bytes(board).length).sum();
      boolean full =
          values.size() + boards.size() > most || bytes + more > StoreMessages.TXN_FILL_BYTES;
      if (!batch.isEmpty() && full) {
        break;
      }
      batch.add(e.getKey());
      values.putAll(boards);
      bytes += more;
    }
    if (!ports.writes.has(values.size(), now)) {
      return;
    }
    ports.writes.take(values.size(), now);
    saving = true;
    // Machines that come at once are written together.
    saveAt = now.plus(SAVE_PAUSE_MS);
    unsaved.removeAll(batch);
    StoreMessages.Txn t = new StoreMessages.Txn().guard(election.key(), loadedTerm);
    values.forEach(
        (key, on) ->
            t.guard(key, shelfStamps.getOrDefault(key, Revision.ABSENT))
                .write(key, Json.object().set("m", on)));
    Revision term = loadedTerm;
    ports.state(
        "POST",
        StoreMessages.MULTI,
        t.body(),
        CALL_MS,
        (status, body) -> {
          saving = false;
          if (!loadedTerm.equals(term)) {
            return;
          }
          if (status == 200) {
            Revision stamp = new Revision(StoreMessages.revision(body));
            values.keySet().forEach(key -> shelfStamps.put(key, stamp));
            batch.forEach(shelf -> onShelf.get(shelf).forEach(this::recorded));
            return;
          }
          unsaved.addAll(batch);
          saveAt = ports.now().plus(SAVE_PAUSE_MS);
          if (status == 409) {
            readShelfStamps();
          }
        });
  }

  private void recorded(Host h) {
    if (!h.recorded) {
      h.recorded = true;
      h.version = ++lendVersion;
    }
  }

  /** What an owner asks for its part. */
  private void take(ShardReport pb, long knownVersion) {
    for (HostName h : pb.retire()) {
      Host x = hosts.get(h);
      // A machine no longer known may have been released by a leader that could not say so.
      boolean theirs = x == null ? !released.containsKey(h) : x.part.equals(pb.part());
      if (theirs && !releasing.contains(h)) {
        toRelease.add(h);
      }
    }
    for (HostName h : pb.handedBack()) {
      Host x = hosts.get(h);
      if (x != null && x.recall && x.part.equals(pb.part())) {
        handOver(x, pb.part());
      }
    }
    if (!pb.spare().isEmpty()) {
      for (Map.Entry<PartId, Part> e : parts.entrySet()) {
        if (e.getValue().queued && !e.getKey().equals(pb.part())) {
          Host x = hosts.get(pb.spare().get(0));
          if (x != null && x.part.equals(pb.part()) && !x.recall) {
            x.recall = true;
            x.version = ++lendVersion;
          }
          break;
        }
      }
    }
    // An owner that has not yet seen the last lending would ask for the same machines again.
    boolean allTold = parts.size() == 1 || (unsaved.isEmpty() && !saving);
    if (knownVersion == lendVersion && allTold && claims.isEmpty() && claiming == 0) {
      for (CapacityRequest w : pb.wants()) {
        MonotonicTime until = blockedUntil.get(w.offer());
        if (w.count() > 0 && (until == null || until.before(ports.now()))) {
          for (int left = Math.min(w.count(), mostRequested()); left > 0; ) {
            int n = Math.min(left, CloudMessages.MAX_RENT);
            claims.add(new Claim("sc-" + loadedTerm + "-" + ++claimCount, w.offer(), n, pb.part()));
            left -= n;
          }
        }
      }
    }
  }

  private int mostRequested() {
    double claims = ports.config.cloud().rps() * REQUEST_HORIZON_S;
    return (int) Math.max(1, claims) * CloudMessages.MAX_RENT;
  }

  /** Empty of the last part's tasks, and lent on only above its term. */
  private void handOver(Host x, PartId from) {
    PartId to = neediest();
    if (to.equals(from)) {
      x.recall = false;
      x.version = ++lendVersion;
      return;
    }
    Part p = parts.get(to);
    Part last = parts.get(from);
    long term = Math.max(x.term.value(), last == null ? 0 : last.epoch.value());
    if (p.epoch.value() <= term) {
      if (!p.vacant && !minting) {
        mint(to, p, p.owner, p.writer, term);
      }
      return;
    }
    // Until the new assignment is written down and told, the machine is nobody's.
    hosts.remove(x.info.name());
    drop(x.info.name());
    lend(x.info, to);
  }

  // ---- the cloud -----------------------------------------------------------------------------

  private void cloudWork() {
    MonotonicTime now = ports.now();
    if (now.before(cloudRetryAt)) {
      return;
    }
    if (!toRelease.isEmpty() && !releasingNow && cloudCalls.tryTake(1, now)) {
      release();
    }
    while (!claims.isEmpty() && claiming < MAX_CLAIMS && cloudCalls.tryTake(1, now)) {
      claim(claims.poll());
    }
    if (!now.before(listAt) && (!listing || nextPage != null) && cloudCalls.tryTake(1, now)) {
      if (!listing) {
        listing = true;
        nextPage = new ListedSoFar("", new HashMap<>());
      }
      list(nextPage);
    }
  }

  private void release() {
    releasingNow = true;
    List<HostName> batch = new ArrayList<>();
    for (HostName h : toRelease) {
      if (batch.size() < CloudMessages.MAX_RELEASE) {
        batch.add(h);
      }
    }
    batch.forEach(toRelease::remove);
    releasing.addAll(batch);
    Revision term = loadedTerm;
    ports.cloud(
        "POST",
        CloudMessages.RELEASE,
        CloudMessages.release(batch),
        CLOUD_MS,
        (status, body) -> {
          if (!loadedTerm.equals(term)) {
            return;
          }
          releasingNow = false;
          batch.forEach(releasing::remove);
          if (status == 200) {
            for (HostName h : batch) {
              released.put(h, ports.now());
              Host x = hosts.remove(h);
              if (x != null) {
                unsaved.add(shelf(h));
              }
              drop(h);
              ports.info("machine %s: released", h);
            }
            ports.count("machine.released");
          } else {
            toRelease.addAll(batch);
            cloudRetryAt = ports.now().plus(1000);
          }
        });
  }

  /** Tells owners that the machine is no longer assigned as they know. */
  private void drop(HostName h) {
    dropped.add(new Dropped(++lendVersion, h));
    while (dropped.size() > Math.max(MIN_KEPT_REMOVALS, hosts.size())) {
      droppedFloor = dropped.poll().version;
    }
  }

  private void claim(Claim c) {
    claiming++;
    Revision term = loadedTerm;
    ports.cloud(
        "POST",
        CloudMessages.RENT,
        CloudMessages.rent(c.name(), c.offer(), c.count()),
        CLOUD_MS,
        (status, body) -> {
          if (!loadedTerm.equals(term)) {
            return;
          }
          claiming--;
          MonotonicTime now = ports.now();
          if (status == 200) {
            List<HostName> got = CloudMessages.rented(body);
            for (HostName h : got) {
              if (!hosts.containsKey(h)) {
                lend(
                    new HostInfo(h, c.offer().type(), c.offer().zone(), c.offer().spot()),
                    c.part());
              }
            }
            ports.info("claim %s: %d of %d %s", c.name(), got.size(), c.count(), c.offer());
            if (got.size() < c.count()) {
              block(c.offer());
            } else {
              refusals.remove(c.offer());
            }
          } else if (status == 503 && "no capacity".equals(Json.text(body.path("error")))) {
            block(c.offer());
          } else if (status == 400) {
            ports.error("claim %s: refused as malformed: %s", c.name(), c.offer());
            block(c.offer());
          } else {
            // It may have been carried out: the same name again, and never another for it.
            claims.addFirst(c);
            tried.add(c.name());
            cloudRetryAt = now.plus(1000);
          }
        });
  }

  private void block(Offer o) {
    // Those not yet sent would be refused too; their owners ask for something else.
    claims.removeIf(c -> c.offer().equals(o) && !tried.contains(c.name()));
    if (ports.now().before(blockedUntil.getOrDefault(o, MonotonicTime.NEVER))) {
      return;
    }
    int n = refusals.merge(o, 1, Integer::sum);
    long ms = Math.min(BLOCK_MAX_MS, BLOCK_MS << Math.min(n - 1, 4));
    blockedUntil.put(o, ports.now().plus(ms));
    ports.info("no capacity for %s, again in %d ms", o, ms);
  }

  /** The machine list as read up to a name; each page is a call of its own. */
  private record ListedSoFar(String after, Map<HostName, Listed> found) {
    int pages() {
      return 1 + found.size() / CloudMessages.MAX_PAGE;
    }
  }

  private void list(ListedSoFar soFar) {
    Revision term = loadedTerm;
    Map<HostName, Listed> found = soFar.found();
    nextPage = null;
    ports.cloud(
        "GET",
        CloudMessages.list(soFar.after()),
        null,
        CLOUD_MS,
        (status, body) -> {
          if (!loadedTerm.equals(term)) {
            return;
          }
          if (status != 200) {
            listing = false;
            listAt = ports.now().plus(2000);
            return;
          }
          List<Listed> page = CloudMessages.listed(body);
          page.forEach(l -> found.put(l.name(), l));
          if (CloudMessages.more(body) && !page.isEmpty()) {
            nextPage = new ListedSoFar(page.get(page.size() - 1).name().value(), found);
            if (cloudCalls.tryTake(1, ports.now())) {
              list(nextPage);
            } else {
              listAt = ports.now().plus(PAGE_RETRY_MS);
            }
            return;
          }
          listing = false;
          listAt = ports.now().plus(listPauseMs(soFar.pages()));
          listed(found.values());
        });
  }

  /** So that reading the list, however many pages it has, leaves calls for renting. */
  private long listPauseMs(int pages) {
    if (hosts.isEmpty()) {
      return EMPTY_LIST_PAUSE_MS;
    }
    double callsPerMs = ports.config.cloud().rps() * LISTING_SHARE / 1000;
    return Math.max(LIST_PAUSE_MS, (long) (pages / callsPerMs));
  }

  private void listed(Collection<Listed> found) {
    MonotonicTime now = ports.now();
    long lag = (long) (ports.config.cloud().listLagS() * 2000) + 2000;
    for (Listed l : found) {
      MonotonicTime at = released.get(l.name());
      if (at != null) {
        if (now.since(at) > lag + 10_000) {
          // The release was answered, so this can only be a machine that came back under a held
          // request; return it.
          released.remove(l.name());
          toRelease.add(l.name());
        }
        continue;
      }
      HostType type = catalog.get(l.type());
      double boot = type == null ? 60 : type.bootS();
      if (l.state().equals("failed")
          || (l.state().equals("starting") && l.ageS() > 4 * boot + 60)) {
        if (!releasing.contains(l.name()) && toRelease.add(l.name())) {
          ports.info("machine %s: %s for %.0f s, returned", l.name(), l.state(), l.ageS());
        }
        continue;
      }
      meet(new HostInfo(l.name(), l.type(), l.zone(), l.spot()), "listed as " + l.state());
      Host h = hosts.get(l.name());
      if (h != null) {
        h.listedAt = now;
      }
    }
    // Once listed, a machine stays listed until it is gone; lists lag and go backwards, so this
    // alone proves nothing. Its release, answered 200, does.
    for (Host h : hosts.values()) {
      if (h.listedAt != MonotonicTime.NEVER
          && now.since(h.listedAt) > lag
          && !releasing.contains(h.info.name())
          && toRelease.add(h.info.name())) {
        ports.info("machine %s: no longer listed", h.info.name());
      }
    }
    released.values().removeIf(at -> now.since(at) > 600_000);
    ports.gauge("machines", hosts.size());
  }
}
