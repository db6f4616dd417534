package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import shorecrank.protocol.Json;

/** A simulated machine with its worker, which implements the worker's side of the protocol. */
final class SimulatedWorker {
  private static final double MS_PER_S = 1000;
  private static final long TICK_MS = 50;
  private static final long MIN_HEARTBEAT_INTERVAL_MS = 500;
  private static final int FIRST_HEARTBEAT_WITHIN_MS = 500;
  private static final int REDIRECT_WITHIN_MS = 500;
  private static final long CONTROLLER_SWITCH_DELAY_MS = 1000;
  private static final long ANSWER_TIMEOUT_MS = 4000;

  /** A worker's clock runs faster or slower than simulated time by up to half of this fraction. */
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
  private boolean failingTasks;
  private boolean removed;
  private long hungUntilMs = -1;
  private long answeredHeartbeatSentMs;
  private int controller;
  private boolean heartbeatInFlight;
  private long heartbeats;
  private long lastHeartbeatMs = -100_000;
  private long nextHeartbeatMs;
  private long lastTokenHeartbeatMs = -100_000;
  private boolean earlyHeartbeatRequested;

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

  /** Returns the machine's name. */
  String name() {
    return name;
  }

  /** Returns the machine's type. */
  String type() {
    return type;
  }

  /** Returns the machine's zone. */
  String zone() {
    return zone;
  }

  boolean isSpot() {
    return spot;
  }

  /** Returns the tasks on the machine. */
  WorkerTasks tasks() {
    return tasks;
  }

  /** Returns the worker's incarnation, which starts at 1 and increases when its lease expires. */
  long incarnation() {
    return incarnation;
  }

  /** Returns the highest fencing token that the worker has seen. */
  long token() {
    return token;
  }

  /** Returns the address at which the worker receives direct commands. */
  String address() {
    return world.workerAddress(this);
  }

  // ---- faults ----------------------------------------------------------------------------------

  /** Suspends everything on the machine for the given time. */
  void hang(long durationMs) {
    hungUntilMs = sim.now() + durationMs;
  }

  boolean isHung() {
    return sim.now() < hungUntilMs;
  }

  /** Makes all tasks on the machine fail from now on. */
  void startFailingTasks() {
    failingTasks = true;
  }

  boolean isFailingTasks() {
    return failingTasks;
  }

  /**
   * Announces that the cloud reclaims the machine.
   *
   * @param seconds time until then
   */
  void announcePreemption(double seconds) {
    preemptionNoticeS = seconds;
  }

  /**
   * Removes the machine and everything on it, because the cloud has reclaimed it or a controller
   * has released it.
   */
  void remove() {
    removed = true;
    tasks.killAll();
  }

  // ---- progress over time ----------------------------------------------------------------------

  private void tick() {
    if (removed) {
      return;
    }
    // Also checked while the machine hangs: it runs nothing then, and once its lease has expired it
    // never runs the same tasks again.
    checkLease();
    if (!isHung()) {
      tasks.progress();
      long now = sim.now();
      boolean sendEarly =
          earlyHeartbeatRequested && now - lastHeartbeatMs >= MIN_HEARTBEAT_INTERVAL_MS;
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
      earlyHeartbeatRequested = true;
    }
  }

  /** Requests that the next heartbeat is sent early, because something has changed. */
  void requestHeartbeat() {
    earlyHeartbeatRequested = true;
  }

  private void observeToken(long observed) {
    if (observed > token) {
      token = observed;
      if (sim.now() - lastTokenHeartbeatMs > world.site.leaseS() * MS_PER_S / 2) {
        lastTokenHeartbeatMs = sim.now();
        earlyHeartbeatRequested = true;
      }
    }
  }

  // ---- direct commands -------------------------------------------------------------------------

  /** Executes direct commands; a hung machine does so when the hang ends. */
  void takeCommands(JsonNode body, ReplyHandler reply) {
    if (removed) {
      return;
    }
    if (isHung()) {
      sim.at(hungUntilMs, () -> takeCommands(body, reply));
      return;
    }
    checkLease();
    world.checker.commandsReceived(this, body);
    long senderToken = body.path("epoch").asLong(-1);
    if (senderToken < token || body.path("tenure").asLong(-1) != incarnation) {
      reply.accept(409, heartbeat());
      return;
    }
    observeToken(senderToken);
    body.path("orders").forEach(tasks::execute);
    reply.accept(200, heartbeat());
  }

  // ---- heartbeats ------------------------------------------------------------------------------

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

  /** A heartbeat that waits for its answer. */
  private record SentHeartbeat(int controller, long number, long incarnation, long sentMs) {}

  private void sendHeartbeat() {
    heartbeatInFlight = true;
    earlyHeartbeatRequested = false;
    lastHeartbeatMs = sim.now();
    double factor = 0.75 + sim.random().nextDouble() * 0.5;
    nextHeartbeatMs = sim.now() + (long) (world.site.reportS() * MS_PER_S * factor);
    SentHeartbeat sent = new SentHeartbeat(controller, ++heartbeats, incarnation, sim.now());
    ObjectNode body = heartbeat();
    world.checker.heartbeatSent(this, body);
    world.network.sendHeartbeat(
        this,
        world.controllers().get(controller),
        body,
        (status, answer) -> {
          if (!isAwaiting(sent)) {
            return;
          }
          if (isHung()) {
            // A hung machine reads the answer when the hang ends, unless its lease has expired by
            // then.
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
    earlyHeartbeatRequested = false;
  }

  private void handleAnswer(SentHeartbeat sent, int status, JsonNode answer) {
    heartbeatInFlight = false;
    world.checker.commandsReceived(this, answer);
    if (status == 200) {
      executeCommands(sent, answer);
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

  private void executeCommands(SentHeartbeat sent, JsonNode answer) {
    long senderToken = answer.path("epoch").asLong(-1);
    if (senderToken < token || sent.incarnation != incarnation) {
      return;
    }
    observeToken(senderToken);
    answeredHeartbeatSentMs = sent.sentMs;
    answer.path("orders").forEach(tasks::execute);
  }
}
