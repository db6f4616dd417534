package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import shorecrank.protocol.Json;

/** A stand-in for a machine and its worker, made from the protocol's page. */
final class SimulatedWorker {
  private static final double MS_PER_S = 1000;
  private static final long TICK_MS = 50;
  private static final long MIN_HEARTBEAT_INTERVAL_MS = 500;
  private static final int FIRST_HEARTBEAT_WITHIN_MS = 500;
  private static final int REDIRECT_WITHIN_MS = 500;
  private static final long CONTROLLER_SWITCH_DELAY_MS = 1000;
  private static final long ANSWER_TIMEOUT_MS = 4000;

  /** Clocks drift by up to half of this, either way. */
  private static final double CLOCK_DRIFT_RANGE = 0.001;

  private final World world;
  private final Simulation sim;
  private final String name;
  private final String type;
  private final String zone;
  private final boolean spot;
  private final WorkerTasks tasks;
  private final double clockRate;
  private long incarnation = 1;
  private long sequence;
  private long token;
  private double preemptionNoticeS = -1;
  private boolean failsTasks;
  private boolean removed;
  private long hungUntilMs = -1;
  private long answeredHeartbeatSentMs;
  private int controller;
  private boolean heartbeatInFlight;
  private long heartbeats;
  private long lastHeartbeatMs = -100_000;
  private long nextHeartbeatMs;
  private long lastTokenHeartbeatMs = -100_000;
  private boolean heartbeatDue;

  SimulatedWorker(World world, String name, String type, String zone, boolean spot) {
    this.world = world;
    this.sim = world.sim;
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.tasks = new WorkerTasks(world, this);
    this.clockRate = 1 + (sim.random().nextDouble() - 0.5) * CLOCK_DRIFT_RANGE;
    this.answeredHeartbeatSentMs = sim.now();
    this.nextHeartbeatMs = sim.now() + sim.random().nextInt(FIRST_HEARTBEAT_WITHIN_MS);
    this.controller = sim.random().nextInt(world.controllers().size());
    tick();
  }

  /** The machine's name. */
  String name() {
    return name;
  }

  /** The machine's type. */
  String type() {
    return type;
  }

  /** The machine's zone. */
  String zone() {
    return zone;
  }

  boolean isSpot() {
    return spot;
  }

  /** What is on the machine. */
  WorkerTasks tasks() {
    return tasks;
  }

  /** Starts at 1, and rises each time its lease expires. */
  long incarnation() {
    return incarnation;
  }

  /** The highest fencing token that it has seen. */
  long token() {
    return token;
  }

  /** Where commands reach it. */
  String address() {
    return world.workerAddress(this);
  }

  // ---- faults ----------------------------------------------------------------------------------

  /** Nothing runs on the machine for a while. */
  void hang(long durationMs) {
    hungUntilMs = sim.now() + durationMs;
  }

  boolean isHung() {
    return sim.now() < hungUntilMs;
  }

  /** All tasks fail on it from now on. */
  void startFailingTasks() {
    failsTasks = true;
  }

  boolean failsTasks() {
    return failsTasks;
  }

  /** The cloud announces that it takes the machine back in so many seconds. */
  void announcePreemption(double seconds) {
    preemptionNoticeS = seconds;
  }

  /** The machine is taken away or returned: everything on it is gone. */
  void remove() {
    removed = true;
    tasks.killAll();
  }

  // ---- as time goes on -------------------------------------------------------------------------

  private void tick() {
    if (removed) {
      return;
    }
    // A hung machine runs nothing, and past its lease it will never run these tasks again.
    checkLease();
    if (!isHung()) {
      tasks.progress();
      long now = sim.now();
      boolean sendEarly = heartbeatDue && now - lastHeartbeatMs >= MIN_HEARTBEAT_INTERVAL_MS;
      if (!heartbeatInFlight && (now >= nextHeartbeatMs || sendEarly)) {
        sendHeartbeat();
      }
    }
    sim.after(TICK_MS, this::tick);
  }

  private void checkLease() {
    if ((sim.now() - answeredHeartbeatSentMs) * clockRate > world.site.leaseS() * MS_PER_S) {
      if (tasks.killAll()) {
        world.counters.addLeaseExpiry();
      }
      incarnation++;
      answeredHeartbeatSentMs = sim.now();
      heartbeatDue = true;
    }
  }

  /** Something is to be reported soon. */
  void requestHeartbeat() {
    heartbeatDue = true;
  }

  private void observeToken(long observed) {
    if (observed > token) {
      token = observed;
      if (sim.now() - lastTokenHeartbeatMs > world.site.leaseS() * MS_PER_S / 2) {
        lastTokenHeartbeatMs = sim.now();
        heartbeatDue = true;
      }
    }
  }

  // ---- commands that come by themselves --------------------------------------------------------

  /** Takes direct commands; a hung machine reads them once it goes on. */
  void takeCommands(JsonNode body, ReplyHandler reply) {
    if (removed) {
      return;
    }
    if (isHung()) {
      sim.at(hungUntilMs, () -> takeCommands(body, reply));
      return;
    }
    checkLease();
    long from = body.path("epoch").asLong(-1);
    if (from < token || body.path("tenure").asLong(-1) != incarnation) {
      reply.accept(409, heartbeat());
      return;
    }
    observeToken(from);
    body.path("orders").forEach(tasks::execute);
    reply.accept(200, heartbeat());
  }

  // ---- reports ---------------------------------------------------------------------------------

  private ObjectNode heartbeat() {
    ObjectNode heartbeat = Json.object().put("host", name).put("addr", address());
    heartbeat.put("hosttype", type).put("site", zone).put("loaner", spot);
    heartbeat.put("tenure", incarnation).put("serial", ++sequence).put("epoch", token);
    if (preemptionNoticeS >= 0) {
      heartbeat.put("reclaimInS", preemptionNoticeS);
    } else {
      heartbeat.putNull("reclaimInS");
    }
    tasks.writeTo(heartbeat.putArray("pieces"));
    return heartbeat;
  }

  /** A report that waits for its answer. */
  private record SentHeartbeat(int controller, long number, long incarnation, long sentMs) {}

  private void sendHeartbeat() {
    heartbeatInFlight = true;
    heartbeatDue = false;
    lastHeartbeatMs = sim.now();
    double share = 0.75 + sim.random().nextDouble() * 0.5;
    nextHeartbeatMs = sim.now() + (long) (world.site.reportS() * MS_PER_S * share);
    SentHeartbeat sent = new SentHeartbeat(controller, ++heartbeats, incarnation, sim.now());
    ObjectNode body = heartbeat();
    world.network.sendHeartbeat(
        this,
        world.controllers().get(controller),
        body,
        (status, answer) -> {
          if (!isAwaiting(sent)) {
            return;
          }
          if (isHung()) {
            // Read once it goes on, if that is soon enough.
            sim.at(hungUntilMs, () -> handleDelayedAnswer(sent, status, answer));
          } else {
            handleAnswer(sent, status, answer);
          }
        });
    sim.after(ANSWER_TIMEOUT_MS, () -> giveUp(sent));
  }

  private boolean isAwaiting(SentHeartbeat sent) {
    return sent.number == heartbeats && heartbeatInFlight && !removed;
  }

  private void giveUp(SentHeartbeat sent) {
    if (sent.number == heartbeats && heartbeatInFlight) {
      heartbeatInFlight = false;
      heartbeats++;
      switchToNextController();
    }
  }

  private void handleDelayedAnswer(SentHeartbeat sent, int status, JsonNode answer) {
    if (isAwaiting(sent)) {
      checkLease();
      handleAnswer(sent, status, answer);
    }
  }

  private void switchToNextController() {
    controller = (controller + 1) % world.controllers().size();
    nextHeartbeatMs = Math.max(nextHeartbeatMs, sim.now() + CONTROLLER_SWITCH_DELAY_MS);
    heartbeatDue = false;
  }

  private void handleAnswer(SentHeartbeat sent, int status, JsonNode answer) {
    heartbeatInFlight = false;
    if (status == 200) {
      handleCommandsOf(sent, answer);
      return;
    }
    int redirect =
        status == 421
            ? world
                .findNode(answer.path("steward").asText(""))
                .map(ControllerNode::index)
                .orElse(sent.controller)
            : sent.controller;
    if (redirect != sent.controller) {
      controller = redirect;
      nextHeartbeatMs = sim.now() + sim.random().nextInt(REDIRECT_WITHIN_MS);
    } else {
      switchToNextController();
      nextHeartbeatMs = sim.now() + CONTROLLER_SWITCH_DELAY_MS;
    }
  }

  private void handleCommandsOf(SentHeartbeat sent, JsonNode answer) {
    long from = answer.path("epoch").asLong(-1);
    if (from < token || sent.incarnation != incarnation) {
      return;
    }
    observeToken(from);
    answeredHeartbeatSentMs = sent.sentMs;
    answer.path("orders").forEach(tasks::execute);
  }
}
