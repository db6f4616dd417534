package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import shorecrank.config.InvalidConfigException;
import shorecrank.config.NodeConfig;
import shorecrank.config.NodeConfigFile;
import shorecrank.config.Settings;
import shorecrank.coordination.ControllerStateMachine;
import shorecrank.coordination.step.Input;
import shorecrank.coordination.step.Output;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.Json;
import shorecrank.rollout.RolloutSetup;
import shorecrank.storage.JobRecord;

/** Controllers and stand-ins on one simulated clock, with troubles. */
class World {
  /** What a cut does to messages. */
  enum Mode {
    DROP,
    HOLD,
    REFUSE
  }

  record Cut(String what, long until, Mode mode, List<Runnable> held) {}

  /**
   * Two zones that can't reach each other, or one that reaches nothing outside if other is null.
   */
  private record ZoneCut(String zone, String other, Cut cut) {
    boolean between(String a, String b) {
      return other == null
          ? a.equals(zone) != b.equals(zone)
          : (a.equals(zone) && b.equals(other)) || (a.equals(other) && b.equals(zone));
    }
  }

  /** Users, the state service and the cloud are in no zone. */
  private static final String REGIONAL = "";

  /** A controller, run as its state machine in this process. */
  class Node {
    final int index;
    final String label;
    final String zone;
    ControllerStateMachine core;
    int life;
    boolean up;
    long frozenUntil = -1;
    long downSince;

    /** Time in its steps, if that is measured. */
    long busyNanos;

    final double clock;
    final long clockOffset;
    final List<Cut> cuts = new ArrayList<>();
    final Map<Long, BiConsumer<Integer, JsonNode>> replies = new HashMap<>();
    long nextReply = 1;

    Node(int index) {
      this.index = index;
      this.label = "n" + index;
      this.zone = zones.get(index % zones.size());
      this.clock = 1 + (sim.random.nextDouble() - 0.5) * 0.001;
      this.clockOffset = sim.random.nextInt(1_000_000);
    }

    void start() {
      up = true;
      life++;
      RolloutSetup setup = rollouts.start(this);
      WriterId writer = new WriterId(label + "." + life);
      core =
          new ControllerStateMachine(
              config(this), rollouts.tuning(this), writer, setup, shares.start(this));
      int mine = life;
      sim.after(20 + sim.random.nextInt(50), () -> tick(mine));
    }

    void crash(long restartMs) {
      if (!up) {
        return;
      }
      checker.trouble(sim.now + restartMs);
      up = false;
      downSince = sim.now;
      core = null;
      replies.clear();
      sim.after(restartMs, this::start);
    }

    private void tick(int mine) {
      if (!up || life != mine) {
        return;
      }
      if (sim.now < frozenUntil) {
        sim.at(frozenUntil, () -> tick(mine));
        return;
      }
      step(new Input.Tick(() -> false));
      checker.oneOwner(this);
      if (tuning.shards() > 1) {
        checker.oneCommander(this);
      }
      rollouts.check(this);
      rounds += core.owned().size();
      sim.after(50, () -> tick(mine));
    }

    /** A frozen process reads what came meanwhile once it goes on. */
    void input(Input in) {
      int mine = life;
      if (sim.now < frozenUntil) {
        sim.at(
            frozenUntil,
            () -> {
              if (up && life == mine) {
                step(in);
              }
            });
      } else {
        step(in);
      }
    }

    /** The epochs of the shards that it owns. */
    Map<ShardId, Epoch> owned() {
      return core.owned();
    }

    /** Hands a request in; the answer may come later or never. */
    void request(
        boolean peer,
        String method,
        String path,
        JsonNode body,
        BiConsumer<Integer, JsonNode> answer) {
      long id = nextReply++;
      replies.put(id, answer);
      input(
          new Input.Request(id, peer, method, path, body == null ? new byte[0] : Json.bytes(body)));
    }

    private MonotonicTime steady() {
      return new MonotonicTime((long) (sim.now * clock) + clockOffset);
    }

    /** The machines that it may command now. */
    Set<MachineName> commandedMachines() {
      return up ? core.commandedMachines(steady()) : Set.of();
    }

    /** The epochs of the shards that it may command now. */
    Map<ShardId, Epoch> commanded() {
      return up ? core.commanded(steady()) : Map.of();
    }

    private void step(Input in) {
      MonotonicTime now = steady();
      long began = System.nanoTime();
      List<Output> outputs =
          core.step(in, now, 1_000_000_000_000L + sim.now, sim.random.nextLong());
      if (measurements != null) {
        long took = System.nanoTime() - began;
        busyNanos += took;
        measurements.step(in, took, outputs);
      }
      for (Output o : outputs) {
        if (digest != null) {
          digest.add(label, sim.now, o);
        }
        if (o instanceof Output.Reply r) {
          BiConsumer<Integer, JsonNode> to = replies.remove(r.reply());
          if (to != null) {
            to.accept(r.status(), r.body());
          }
        } else if (o instanceof Output.Call c) {
          call(this, c);
        } else if (o instanceof Output.Count n) {
          if (n.metric().equals("round.looks")) {
            looks += n.by();
          }
          shares.count(n.metric(), n.by());
        } else if (o instanceof Output.Gauge g) {
          shares.gauge(g.metric(), g.value());
        } else if (o instanceof Output.Log l) {
          if (verbose) {
            System.out.printf("%9.3f %s %s%n", sim.now / 1000.0, label, l.text());
          }
          logs.add(l.text());
          // What is to happen at this very moment: before anything else of this step takes effect.
          for (var i = onLog.entrySet().iterator(); i.hasNext(); ) {
            var e = i.next();
            if (l.text().contains(e.getKey())) {
              i.remove();
              sim.after(0, e.getValue());
            }
          }
        }
      }
    }

    Cut cut(String what) {
      for (Cut c : cuts) {
        if (c.until > sim.now && (c.what.equals(what) || c.what.equals("all"))) {
          return c;
        }
      }
      return null;
    }
  }

  final Sim sim;
  final Store store;
  final Checker checker;
  final CloudSim cloud;
  final Users users;
  final Rollouts rollouts;
  final Shares shares;

  /** Which starts workers carried out, and what was written before. */
  final CommandHistory history = new CommandHistory();

  final List<Node> nodes = new ArrayList<>();
  final Map<String, Worker> workers = new TreeMap<>();
  final Map<String, MachineType> types = new TreeMap<>();
  final Map<String, JobPlan> plans = new TreeMap<>();
  final Map<String, Double> teamMax = new TreeMap<>();
  final Map<String, Double> teamOwn = new TreeMap<>();
  final Set<String> submitted = new HashSet<>();
  final Set<String> cancelAsked = new HashSet<>();
  final Set<String> results = new HashSet<>();

  /** Progress that tasks have saved, in milliseconds. */
  final Map<String, Long> saved = new HashMap<>();

  final List<String> logs = new ArrayList<>();

  /** What happens when a controller first logs a text. */
  private final Map<String, Runnable> onLog = new TreeMap<>();

  /** What {@code expect} lines found otherwise. */
  final List<String> unmetExpectations = new ArrayList<>();

  final List<ObjectNode> objectives = new ArrayList<>();

  /** Changes in the fullest answer to a watch that a controller had to hold. */
  int mostNews;

  private long rounds;
  private long looks;

  /** Machines and jobs that an owner's round looks at, on average. */
  double looksPerRound() {
    return (double) looks / Math.max(1, rounds);
  }

  private final Map<String, List<Cut>> workerCuts = new HashMap<>();
  private final List<ZoneCut> zoneCuts = new ArrayList<>();

  /** The zones that controllers are in, in turn. */
  List<String> zones = List.of("a");

  private long lateWritesUntil = -1;
  private double lateWritesShare;
  private boolean lateWritesAtOnce;
  private long slowUntil = -1;
  private double slowFactor = 1;
  private boolean copiesForNext;

  /** Copies of reports that are kept until somebody else leads. */
  private final List<Runnable> keptForNext = new ArrayList<>();

  private long copiesUntil = -1;
  private double copiesUpToS;
  private boolean copiesInOrder;
  final Set<String> unheard = new HashSet<>();
  Settings tuning;
  boolean verbose;

  /** What steps and messages cost, if that is to be measured. */
  Measurements measurements;

  /** Takes every reply and call of the controllers; null if nobody asks. */
  OutputDigest digest;

  double reportS = 1.5;
  double leaseS = 10;
  double cancelS = 40;
  double listLagS = 3;
  double stateRps = 100;
  double stateWrites = 50;

  /** The limits that the state service will have, if they are announced. */
  double nextValueKb;

  int nextTxnOps;

  /** Whether controllers are told of them before. */
  boolean announced = true;

  int leaseKills;
  int refusedFull;

  World(long seed, Settings tuning) {
    this.sim = new Sim(seed);
    this.tuning = tuning;
    this.store = new Store(sim);
    this.checker = new Checker(this);
    this.cloud = new CloudSim(this);
    this.users = new Users(this);
    this.rollouts = new Rollouts(this);
    this.shares = new Shares(this);
    this.store.beforeApply =
        operations -> {
          rollouts.applying(operations);
          shares.applying(operations);
          record(operations);
        };
  }

  /** What a transaction says of shards and machines goes into the history. */
  private void record(JsonNode operations) {
    for (JsonNode o : operations) {
      String key = o.path("write").asText();
      if (key.startsWith("part/")) {
        history.minted(o.path("data").path("epoch").asLong(), o.path("data").path("part").asInt());
      } else if (key.startsWith("hosts/") && tuning.shards() > 1) {
        o.path("data")
            .path("m")
            .forEach(m -> history.assigned(m.path(0).asText(), m.path(4).asInt()));
      }
    }
    if (tuning.shards() > 1) {
      operations.forEach(this::checkNames);
    }
  }

  /** No record may name a machine of another shard, whichever of the two is written later. */
  private void checkNames(JsonNode operation) {
    String key = operation.path("write").asText();
    if (key.startsWith(JobRecord.LIVE)) {
      checkNames(key, operation.path("data"));
    } else if (key.startsWith("hosts/")) {
      store.keys(JobRecord.LIVE).forEach(job -> checkNames(job, store.peek(job)));
    }
  }

  private void checkNames(String key, JsonNode value) {
    JobRecord record = JobRecord.read(value);
    if (record == null) {
      return;
    }
    int shards = rollouts.tuning(nodes.get(0)).shards();
    int shard = ShardId.of(record.spec().team(), shards).value();
    for (JobRecord.AttemptRange range : record.live()) {
      Worker worker = workers.get(range.host().value());
      boolean there = worker != null && !worker.dead;
      if (there && !history.belongs(range.host().value(), shard)) {
        checker.broken("named_elsewhere: %s names %s".formatted(key, range.host()));
      }
    }
  }

  /**
   * Has something done, once, when a controller first logs a text; after what is to be done so far.
   */
  void whenLogged(String text, Runnable action) {
    onLog.merge(
        text,
        action,
        (first, second) ->
            () -> {
              first.run();
              second.run();
            });
  }

  /** Has something done, once, when a controller first logs a text, in place of all other. */
  void replaceWhenLogged(String text, Runnable action) {
    onLog.put(text, action);
  }

  Node node(String label) {
    int index = index(label);
    if (index < 0) {
      throw new IllegalArgumentException("no controller is named " + label);
    }
    return nodes.get(index);
  }

  int index(String label) {
    for (Node n : nodes) {
      if (n.label.equals(label)) {
        return n.index;
      }
    }
    return -1;
  }

  private NodeConfig config(Node n) {
    try {
      return NodeConfigFile.read(Json.bytes(platformFile(n)));
    } catch (InvalidConfigException e) {
      throw new IllegalArgumentException(e);
    }
  }

  /** Where a controller's users and workers, its peers, the state service and the cloud are. */
  record Addresses(String users, String peers, String state, String cloud) {}

  Addresses addresses(Node n) {
    String host = "10.0.0." + (n.index + 1);
    return new Addresses(host + ":80", host + ":81", "10.2.0.1:1", "10.2.0.2:1");
  }

  /** The file that the platform hands to a controller. */
  ObjectNode platformFile(Node n) {
    Addresses own = addresses(n);
    ObjectNode c = Json.object().put("label", n.label).put("location", n.zone);
    c.put("public_addr", own.users()).put("peer_bind", own.peers());
    var members = c.putArray("members");
    for (Node o : nodes) {
      if (o != n) {
        members
            .addObject()
            .put("label", o.label)
            .put("location", o.zone)
            .put("addr", addresses(o).peers());
      }
    }
    c.putObject("endpoints").put("cloud", own.cloud()).put("state", own.state());
    ObjectNode s = c.putObject("settings");
    var teams = s.putArray("teams");
    teamMax.forEach(
        (name, max) ->
            teams
                .addObject()
                .put("name", name)
                .put("cpus", teamOwn.getOrDefault(name, 0.0))
                .put("cpus_max", max)
                .put("gpus", 0.0)
                .put("gpus_max", 0.0));
    objectives.forEach(s.withArray("objectives")::add);
    s.putObject("workers").put("report_s", reportS).put("lease_s", leaseS).put("cancel_s", cancelS);
    s.putObject("state")
        .put("rps", stateRps)
        .put("write_rps", stateWrites)
        .put("txn_ops", store.txnOps)
        .put("value_kb", store.valueKb);
    if (nextValueKb > 0 && announced) {
      s.withObject("/state")
          .putObject("next")
          .put("value_kb", nextValueKb)
          .put("txn_ops", nextTxnOps);
    }
    s.putObject("cloud").put("rps", 4.0).put("list_lag_s", listLagS);
    return c;
  }

  void open(int count) {
    for (int i = 0; i < count; i++) {
      nodes.add(newNode(i));
    }
    nodes.forEach(Node::start);
  }

  Node newNode(int index) {
    return new Node(index);
  }

  /** Where commands for a worker go. */
  String workerAddress(Worker w) {
    int i = Integer.parseInt(w.name.substring(2));
    return "10.1." + i / 250 + "." + (1 + i % 250) + ":9000";
  }

  private long delay() {
    return 1 + sim.random.nextInt(6);
  }

  // ---- the network ---------------------------------------------------------------------------

  /** Delivers across a cut: at once, after it, or never. */
  void through(Cut c, Runnable deliver) {
    if (c == null) {
      sim.after(delay(), deliver);
    } else if (c.mode == Mode.HOLD) {
      c.held.add(deliver);
    }
  }

  void cut(Node n, String what, long ms, Mode mode) {
    checker.trouble(sim.now + ms);
    Cut c = new Cut(what, sim.now + ms, mode, new ArrayList<>());
    n.cuts.add(c);
    sim.after(ms, () -> c.held.forEach(Runnable::run));
  }

  /** Cuts a zone off from everything, or from one other. */
  void cutZone(String zone, String other, long ms, Mode mode) {
    checker.trouble(sim.now + ms);
    Cut c = new Cut("zone", sim.now + ms, mode, new ArrayList<>());
    zoneCuts.add(new ZoneCut(zone, other, c));
    sim.after(ms, () -> c.held.forEach(Runnable::run));
  }

  private Cut zoneCut(String a, String b) {
    for (ZoneCut z : zoneCuts) {
      if (z.cut.until > sim.now && z.between(a, b)) {
        return z.cut;
      }
    }
    return null;
  }

  /**
   * {@code what} is "worker" for both ways, "answers" for all that goes to the worker, or "reports"
   * for all that comes from it.
   */
  void cutWorker(Worker w, String what, long ms, Mode mode) {
    checker.trouble(sim.now + ms);
    Cut c = new Cut(what, sim.now + ms, mode, new ArrayList<>());
    workerCuts.computeIfAbsent(w.name, k -> new ArrayList<>()).add(c);
    sim.after(ms, () -> c.held.forEach(Runnable::run));
  }

  private Cut workerCut(Worker w, Node n, boolean answer) {
    for (Cut c : workerCuts.getOrDefault(w.name, List.of())) {
      boolean both = c.what.equals("worker");
      if (c.until > sim.now && (both || answer == c.what.equals("answers"))) {
        return c;
      }
    }
    Cut c = n.cut("workers");
    return c != null ? c : zoneCut(n.zone, w.zone);
  }

  private void call(Node from, Output.Call c) {
    int life = from.life;
    boolean[] answered = new boolean[1];
    BiConsumer<Integer, JsonNode> back =
        (status, body) -> {
          if (!answered[0] && from.up && from.life == life) {
            answered[0] = true;
            mostNews = Math.max(mostNews, body.path("news").size());
            from.input(new Input.Answer(c.call(), status, body));
          }
        };
    sim.after(c.timeoutMs(), () -> back.accept(0, Json.parse(null)));
    if (c.target() instanceof Output.Worker w) {
      direct(from, w.address(), c.body(), back);
      return;
    }
    String kind =
        c.target() instanceof Output.Peer
            ? "peers"
            : c.target() == Output.Service.STATE ? "state" : "cloud";
    Cut cut = regionalCut(from, kind);
    if (cut != null && cut.mode == Mode.REFUSE) {
      sim.after(delay(), () -> back.accept(503, Json.error("trouble")));
      return;
    }
    if (c.target() instanceof Output.Peer p) {
      Node to = nodes.get(index(p.label().value()));
      through(
          peerCut(from, to),
          () -> {
            if (to.up) {
              request(
                  to,
                  true,
                  c.method(),
                  c.path(),
                  c.body(),
                  (s, b) -> through(peerCut(to, from), () -> back.accept(s, b)));
            }
          });
      return;
    }
    BiConsumer<Integer, JsonNode> reply =
        (s, b) -> through(regionalCut(from, kind), () -> back.accept(s, rollouts.asRead(from, b)));
    through(
        cut,
        () -> {
          if (kind.equals("state")) {
            state(c, reply);
          } else {
            cloud.handle(c.method(), c.path(), c.body(), reply);
          }
        });
  }

  /** The state service may be slow; a transaction may come late, or only its answer be lost. */
  private void state(Output.Call c, BiConsumer<Integer, JsonNode> reply) {
    if (sim.now < lateWritesUntil
        && c.path().equals("/multi")
        && sim.random.nextDouble() < lateWritesShare) {
      long late = lateWritesAtOnce ? 0 : 2000 + sim.random.nextInt(10_000);
      sim.after(
          late,
          () -> {
            store.lateByMs = late;
            store.handle(c.method(), c.path(), c.body(), (s, b) -> {});
            store.lateByMs = 0;
          });
      return;
    }
    if (sim.now < slowUntil) {
      long each = (long) (5 * slowFactor * (0.5 + sim.random.nextDouble()));
      sim.after(
          each,
          () ->
              store.handle(
                  c.method(),
                  c.path(),
                  c.body(),
                  (s, b) -> sim.after(each, () -> reply.accept(s, b))));
      return;
    }
    store.handle(c.method(), c.path(), c.body(), reply);
  }

  /** That share of transactions gets no answer and is carried out late, or at once. */
  void lateWrites(double share, long ms, boolean atOnce) {
    checker.trouble(sim.now + ms + 12_000);
    lateWritesShare = share;
    lateWritesUntil = sim.now + ms;
    lateWritesAtOnce = atOnce;
  }

  void slow(double factor, long ms) {
    checker.trouble(sim.now + ms);
    slowFactor = factor;
    slowUntil = sim.now + ms;
  }

  /** A command straight to a worker: held or copied, it may be carried out long after. */
  private void direct(
      Node from, String address, JsonNode body, BiConsumer<Integer, JsonNode> back) {
    Worker w =
        workers.values().stream().filter(x -> x.address().equals(address)).findFirst().orElse(null);
    if (w == null) {
      sim.after(delay(), () -> back.accept(0, Json.parse(null)));
      return;
    }
    through(
        workerCut(w, from, true),
        () ->
            w.direct(body, (s, b) -> through(workerCut(w, from, false), () -> back.accept(s, b))));
    if (sim.now < copiesUntil && !copiesForNext) {
      int most = (int) (copiesUpToS * 1000);
      sim.after(
          copiesInOrder ? most : 500 + sim.random.nextInt(most),
          () -> w.direct(body, (s, b) -> {}));
    }
  }

  private Cut peerCut(Node a, Node b) {
    Cut c = a.cut("peers");
    c = c != null ? c : b.cut("peers");
    return c != null ? c : zoneCut(a.zone, b.zone);
  }

  Cut regionalCut(Node n, String kind) {
    Cut c = n.cut(kind);
    return c != null || kind.equals("peers") ? c : zoneCut(n.zone, REGIONAL);
  }

  void request(
      Node to,
      boolean peer,
      String method,
      String path,
      JsonNode body,
      BiConsumer<Integer, JsonNode> answer) {
    if (to.up) {
      to.request(peer, method, path, body, answer);
    }
  }

  void workerRequest(Worker w, int to, JsonNode body, BiConsumer<Integer, JsonNode> answer) {
    Node n = nodes.get(to);
    if (!n.up && workerCut(w, n, false) == null) {
      // The machine is there, the process is not: the connection is refused.
      sim.after(delay(), () -> answer.accept(0, Json.parse(null)));
      return;
    }
    through(
        workerCut(w, n, false),
        () ->
            request(
                n,
                false,
                "POST",
                "/v1/report",
                body,
                (s, b) -> through(workerCut(w, n, true), () -> answer.accept(s, b))));
    if (sim.now < copiesUntil) {
      if (copiesForNext) {
        keptForNext.add(
            () -> nodes.forEach(x -> request(x, false, "POST", "/v1/report", body, (s, b) -> {})));
        return;
      }
      // A copy arrives late, at the same controller or at another; nobody waits for its answer.
      Node at = sim.random.nextBoolean() ? n : nodes.get(sim.random.nextInt(nodes.size()));
      int most = (int) (copiesUpToS * 1000);
      sim.after(
          copiesInOrder ? most : 2000 + sim.random.nextInt(most),
          () -> request(at, false, "POST", "/v1/report", body, (s, b) -> {}));
    }
  }

  /** For a while every report is delivered a second time, so much later at most or just so much. */
  void copies(long ms, double upToS, boolean inOrder) {
    copiesForNext = false;
    copiesInOrder = inOrder;
    copiesUntil = sim.now + ms;
    copiesUpToS = upToS;
    checker.trouble(sim.now + ms + (long) (upToS * 1000) + 2000);
  }

  /**
   * For a while a copy of every report is kept, and all reach every controller under the next
   * leader.
   */
  void copiesForNext(long ms) {
    copiesForNext = true;
    copiesUntil = sim.now + ms;
    checker.trouble(sim.now + ms);
    deliverToNext(store.peek("leader").path("writer").asText(""), sim.now + ms + 60_000);
  }

  private void deliverToNext(String last, long until) {
    String now = store.peek("leader").path("writer").asText("");
    if (!now.isEmpty() && !now.equals(last)) {
      checker.trouble(sim.now);
      List<Runnable> all = List.copyOf(keptForNext);
      keptForNext.clear();
      // The oldest first and last: some copies come in order, some do not.
      all.forEach(r -> sim.after(sim.random.nextInt(1500), r));
    } else if (sim.now < until) {
      sim.after(20, () -> deliverToNext(last, until));
    }
  }

  /** Lower limits, without notice. */
  void lowerLimits() {
    store.valueKb = (int) nextValueKb;
    store.txnOps = nextTxnOps;
  }

  /** The job itself and all that it needs, directly or through others. */
  Set<String> withNeeds(String job) {
    Set<String> all = new HashSet<>();
    List<String> open = new ArrayList<>(List.of(job));
    while (!open.isEmpty()) {
      String one = open.remove(open.size() - 1);
      if (all.add(one) && plans.containsKey(one)) {
        open.addAll(plans.get(one).dependencies());
      }
    }
    return all;
  }

  // ---- who does what -------------------------------------------------------------------------

  Node leader() {
    String label = store.peek("leader").path("label").asText("");
    int i = index(label);
    return i < 0 ? null : nodes.get(i);
  }

  Node owner(int shard) {
    Node best = null;
    long top = -1;
    for (Node n : nodes) {
      if (n.up) {
        Epoch e = n.owned().get(new ShardId(shard));
        if (e != null && e.value() > top) {
          top = e.value();
          best = n;
        }
      }
    }
    return best;
  }

  /** The machine that runs a task of the job, if any does. */
  Worker runs(String job) {
    for (Worker w : workers.values()) {
      for (Worker.Task t : w.running()) {
        if (t.job().equals(job)) {
          return w;
        }
      }
    }
    return null;
  }
}
