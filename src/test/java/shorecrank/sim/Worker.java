package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import shorecrank.protocol.Json;

/** A stand-in for a machine and its worker, made from the protocol's page. */
final class Worker {
  static final class Task {
    String piece;
    long attempt;
    String phase;
    String cause;
    long endsAt;
    long runningSince;
    boolean onMachine;
    boolean kept;
    long generation;

    String job() {
      return piece.substring(0, piece.lastIndexOf('/'));
    }
  }

  final World world;
  final String name;
  final String type;
  final String zone;
  final boolean spot;
  final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Set<String> images = new HashSet<>();
  private final Set<String> results = new HashSet<>();
  private final double clock;
  long incarnation = 1;
  long sequence;
  long epoch;
  double notice = -1;
  boolean sick;
  boolean dead;
  private long hungUntil = -1;
  private long lastAnsweredSent;
  private int node;
  private boolean inFlight;
  private long reportGeneration;
  private long lastSent = -100_000;
  private long nextReport;
  private long epochChangeAt = -100_000;
  private boolean changed;
  private long generations;

  Worker(World world, String name, String type, String zone, boolean spot) {
    this.world = world;
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.clock = 1 + (world.sim.random.nextDouble() - 0.5) * 0.001;
    this.lastAnsweredSent = world.sim.now;
    this.nextReport = world.sim.now + world.sim.random.nextInt(500);
    this.node = world.sim.random.nextInt(world.nodes.size());
    tick();
  }

  private long now() {
    return world.sim.now;
  }

  boolean hung() {
    return now() < hungUntil;
  }

  void hang(long ms) {
    hungUntil = now() + ms;
  }

  private void tick() {
    if (dead) {
      return;
    }
    // A hung machine runs nothing, and past its lease it will never run these tasks again.
    lease();
    if (!hung()) {
      progress();
      if (!inFlight && (now() >= nextReport || (changed && now() - lastSent >= 500))) {
        send();
      }
    }
    world.sim.after(50, this::tick);
  }

  private void lease() {
    if ((now() - lastAnsweredSent) * clock > world.leaseS * 1000) {
      for (Task t : tasks.values()) {
        unassigned(t);
      }
      if (!tasks.isEmpty()) {
        world.leaseKills++;
      }
      tasks.clear();
      incarnation++;
      lastAnsweredSent = now();
      changed = true;
    }
  }

  private void unassigned(Task t) {
    if (t.onMachine) {
      t.onMachine = false;
      world.checker.stopped(this, t);
    }
  }

  private void progress() {
    for (Task t : tasks.values()) {
      if (t.phase.equals("exited") || now() < t.endsAt) {
        continue;
      }
      JobPlan plan = world.plans.get(t.job());
      if (t.phase.equals("pulling")) {
        images.add(plan.image());
        if (results.contains(t.piece)) {
          exit(t, "done");
          continue;
        }
        t.phase = "running";
        t.onMachine = true;
        world.checker.started(this, t);
        t.runningSince = now();
        long left = (long) (plan.runS() * 1000) - world.saved.getOrDefault(t.piece, 0L);
        t.endsAt = now() + (sick || plan.faulty() ? 300 : Math.max(1, left));
        changed = true;
      } else if (t.phase.equals("running")) {
        if (sick || plan.faulty()) {
          exit(t, "error");
        } else {
          results.add(t.piece);
          world.users.result(t.piece);
          exit(t, "done");
        }
      } else {
        t.kept = true;
        exit(t, "halted");
      }
    }
  }

  private void exit(Task t, String cause) {
    unassigned(t);
    t.phase = "exited";
    t.cause = cause;
    changed = true;
  }

  String address() {
    return world.workerAddress(this);
  }

  /** Commands that come by themselves; a hung machine reads them once it goes on. */
  void direct(JsonNode body, BiConsumer<Integer, JsonNode> answer) {
    if (dead) {
      return;
    }
    if (hung()) {
      world.sim.at(hungUntil, () -> direct(body, answer));
      return;
    }
    lease();
    long token = body.path("epoch").asLong(-1);
    if (token < epoch || body.path("tenure").asLong(-1) != incarnation) {
      answer.accept(409, report());
      return;
    }
    sees(token);
    for (JsonNode o : body.path("orders")) {
      execute(o);
    }
    answer.accept(200, report());
  }

  private void sees(long token) {
    if (token > epoch) {
      epoch = token;
      if (now() - epochChangeAt > world.leaseS * 500) {
        epochChangeAt = now();
        changed = true;
      }
    }
  }

  ObjectNode report() {
    ObjectNode n = Json.object().put("host", name).put("addr", address());
    n.put("hosttype", type).put("site", zone).put("loaner", spot);
    n.put("tenure", incarnation).put("serial", ++sequence).put("epoch", epoch);
    if (notice >= 0) {
      n.put("reclaimInS", notice);
    } else {
      n.putNull("reclaimInS");
    }
    ArrayNode a = n.putArray("pieces");
    for (Task t : tasks.values()) {
      ObjectNode o = a.addObject().put("piece", t.piece).put("try", t.attempt);
      o.put("phase", t.phase);
      if (t.cause != null) {
        o.put("cause", t.cause);
        if (t.kept) {
          o.put("kept", true);
        }
      }
    }
    return n;
  }

  private void send() {
    inFlight = true;
    changed = false;
    lastSent = now();
    nextReport =
        now() + (long) (world.reportS * 1000 * (0.75 + world.sim.random.nextDouble() * 0.5));
    long sent = now();
    long sentTenure = incarnation;
    long generation = ++reportGeneration;
    int to = node;
    ObjectNode body = report();
    world.workerRequest(
        this,
        to,
        body,
        (status, answer) -> {
          if (generation == reportGeneration && inFlight && !dead) {
            if (hung()) {
              // Read once it goes on, if that is soon enough.
              world.sim.at(hungUntil, () -> late(generation, to, sent, sentTenure, status, answer));
            } else {
              answered(to, sent, sentTenure, status, answer);
            }
          }
        });
    world.sim.after(
        4000,
        () -> {
          if (generation == reportGeneration && inFlight) {
            inFlight = false;
            reportGeneration++;
            next();
          }
        });
  }

  private void late(
      long generation, int to, long sent, long sentTenure, int status, JsonNode answer) {
    if (generation == reportGeneration && inFlight && !dead) {
      lease();
      answered(to, sent, sentTenure, status, answer);
    }
  }

  private void next() {
    node = (node + 1) % world.nodes.size();
    nextReport = Math.max(nextReport, now() + 1000);
    changed = false;
  }

  private void answered(int to, long sent, long sentTenure, int status, JsonNode answer) {
    inFlight = false;
    if (status == 421) {
      int i = world.index(answer.path("steward").asText(""));
      if (i >= 0 && i != to) {
        node = i;
        nextReport = now() + world.sim.random.nextInt(500);
      } else {
        next();
        nextReport = now() + 1000;
      }
      return;
    }
    if (status != 200) {
      next();
      nextReport = now() + 1000;
      return;
    }
    long token = answer.path("epoch").asLong(-1);
    if (token < epoch || sentTenure != incarnation) {
      return;
    }
    sees(token);
    lastAnsweredSent = sent;
    for (JsonNode o : answer.path("orders")) {
      execute(o);
    }
  }

  private void execute(JsonNode o) {
    String piece = o.path("piece").asText();
    long attempt = o.path("try").asLong();
    String key = piece + "#" + attempt;
    Task t = tasks.get(key);
    switch (o.path("verb").asText()) {
      case "start" -> {
        if (t == null) {
          world.checker.commanded(this, piece, attempt, true);
          world.history.started(name, epoch, piece).forEach(world.checker::broken);
          start(key, piece, attempt);
        }
      }
      case "stop" -> {
        if (t != null && !t.phase.equals("exited")) {
          JobPlan plan = world.plans.get(t.job());
          if (t.phase.equals("running")
              && plan.checkpoints()
              && o.path("windDownS").asDouble() >= plan.checkpointS()) {
            t.phase = "flushing";
            world.saved.merge(piece, now() - t.runningSince, Long::sum);
            t.endsAt = now() + (long) (plan.checkpointS() * 1000);
          } else if (!t.phase.equals("flushing") || o.path("windDownS").asDouble() == 0) {
            exit(t, "halted");
          }
          changed = true;
        }
      }
      case "reap" -> {
        if (t != null && t.phase.equals("exited")) {
          world.checker.commanded(this, piece, attempt, false);
          tasks.remove(key);
          changed = true;
        }
      }
      default -> world.checker.broken("unknown verb " + o);
    }
  }

  private void start(String key, String piece, long attempt) {
    Task t = new Task();
    t.piece = piece;
    t.attempt = attempt;
    t.generation = ++generations;
    tasks.put(key, t);
    changed = true;
    JobPlan plan = world.plans.get(t.job());
    double cpus = 0;
    boolean busy = false;
    for (Task x : tasks.values()) {
      if (x != t && !x.phase.equals("exited")) {
        cpus += world.plans.get(x.job()).cpus();
        busy |= x.piece.equals(piece);
      }
    }
    if (plan == null) {
      t.phase = "exited";
      t.cause = "unknown";
    } else if (busy) {
      t.phase = "exited";
      t.cause = "busy";
    } else if (cpus + plan.cpus() > world.types.get(type).cpus() + 1e-9) {
      t.phase = "exited";
      t.cause = "full";
      world.refusedFull++;
    } else {
      t.phase = "pulling";
      t.endsAt = now() + (images.contains(plan.image()) ? 0 : (long) (plan.fetchS() * 1000));
    }
  }

  /** Taken away or returned: everything on it is gone. */
  void gone() {
    dead = true;
    for (Task t : new ArrayList<>(tasks.values())) {
      unassigned(t);
    }
    tasks.clear();
  }

  double freeCpus() {
    double used = 0;
    for (Task t : tasks.values()) {
      used += t.phase.equals("exited") ? 0 : world.plans.get(t.job()).cpus();
    }
    return world.types.get(type).cpus() - used;
  }

  List<Task> running() {
    List<Task> l = new ArrayList<>();
    for (Iterator<Task> i = tasks.values().iterator(); i.hasNext(); ) {
      Task t = i.next();
      if (t.onMachine) {
        l.add(t);
      }
    }
    return l;
  }
}
