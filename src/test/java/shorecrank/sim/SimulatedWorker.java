package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import shorecrank.protocol.Json;

/** A stand-in for a machine and its worker, made from the protocol's page. */
final class SimulatedWorker {
  private static final double MS_PER_S = 1000;
  private static final long TICK_MS = 50;
  private static final long LEAST_BETWEEN_REPORTS_MS = 500;
  private static final int FIRST_REPORT_WITHIN_MS = 500;
  private static final int REDIRECT_WITHIN_MS = 500;
  private static final long NEXT_CONTROLLER_AFTER_MS = 1000;
  private static final long ANSWER_TIMEOUT_MS = 4000;

  /** Clocks drift by up to half of this, either way. */
  private static final double CLOCK_DRIFT = 0.001;

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
  private double noticeS = -1;
  private boolean sick;
  private boolean removed;
  private long hungUntilMs = -1;
  private long answeredReportSentMs;
  private int controller;
  private boolean reportInFlight;
  private long reports;
  private long lastReportMs = -100_000;
  private long nextReportMs;
  private long tokenChangeMs = -100_000;
  private boolean changed;

  SimulatedWorker(World world, String name, String type, String zone, boolean spot) {
    this.world = world;
    this.sim = world.sim;
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.tasks = new WorkerTasks(world, this);
    this.clockRate = 1 + (sim.random().nextDouble() - 0.5) * CLOCK_DRIFT;
    this.answeredReportSentMs = sim.now();
    this.nextReportMs = sim.now() + sim.random().nextInt(FIRST_REPORT_WITHIN_MS);
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
    sick = true;
  }

  boolean failsTasks() {
    return sick;
  }

  /** The cloud announces that it takes the machine back in so many seconds. */
  void giveNotice(double seconds) {
    noticeS = seconds;
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
      boolean soon = changed && now - lastReportMs >= LEAST_BETWEEN_REPORTS_MS;
      if (!reportInFlight && (now >= nextReportMs || soon)) {
        sendReport();
      }
    }
    sim.after(TICK_MS, this::tick);
  }

  private void checkLease() {
    if ((sim.now() - answeredReportSentMs) * clockRate > world.site.leaseS() * MS_PER_S) {
      if (tasks.killAll()) {
        world.counters.addLeaseExpiry();
      }
      incarnation++;
      answeredReportSentMs = sim.now();
      changed = true;
    }
  }

  /** Something is to be reported soon. */
  void noteChange() {
    changed = true;
  }

  private void seeToken(long seen) {
    if (seen > token) {
      token = seen;
      if (sim.now() - tokenChangeMs > world.site.leaseS() * MS_PER_S / 2) {
        tokenChangeMs = sim.now();
        changed = true;
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
      reply.accept(409, report());
      return;
    }
    seeToken(from);
    body.path("orders").forEach(tasks::execute);
    reply.accept(200, report());
  }

  // ---- reports ---------------------------------------------------------------------------------

  private ObjectNode report() {
    ObjectNode report = Json.object().put("host", name).put("addr", address());
    report.put("hosttype", type).put("site", zone).put("loaner", spot);
    report.put("tenure", incarnation).put("serial", ++sequence).put("epoch", token);
    if (noticeS >= 0) {
      report.put("reclaimInS", noticeS);
    } else {
      report.putNull("reclaimInS");
    }
    tasks.writeTo(report.putArray("pieces"));
    return report;
  }

  /** A report that waits for its answer. */
  private record SentReport(int controller, long number, long incarnation, long sentMs) {}

  private void sendReport() {
    reportInFlight = true;
    changed = false;
    lastReportMs = sim.now();
    double share = 0.75 + sim.random().nextDouble() * 0.5;
    nextReportMs = sim.now() + (long) (world.site.reportS() * MS_PER_S * share);
    SentReport sent = new SentReport(controller, ++reports, incarnation, sim.now());
    ObjectNode body = report();
    world.network.sendHeartbeat(
        this,
        world.controllers().get(controller),
        body,
        (status, answer) -> {
          if (!awaits(sent)) {
            return;
          }
          if (isHung()) {
            // Read once it goes on, if that is soon enough.
            sim.at(hungUntilMs, () -> takeLateAnswer(sent, status, answer));
          } else {
            takeAnswer(sent, status, answer);
          }
        });
    sim.after(ANSWER_TIMEOUT_MS, () -> giveUp(sent));
  }

  private boolean awaits(SentReport sent) {
    return sent.number == reports && reportInFlight && !removed;
  }

  private void giveUp(SentReport sent) {
    if (sent.number == reports && reportInFlight) {
      reportInFlight = false;
      reports++;
      turnToNextController();
    }
  }

  private void takeLateAnswer(SentReport sent, int status, JsonNode answer) {
    if (awaits(sent)) {
      checkLease();
      takeAnswer(sent, status, answer);
    }
  }

  private void turnToNextController() {
    controller = (controller + 1) % world.controllers().size();
    nextReportMs = Math.max(nextReportMs, sim.now() + NEXT_CONTROLLER_AFTER_MS);
    changed = false;
  }

  private void takeAnswer(SentReport sent, int status, JsonNode answer) {
    reportInFlight = false;
    if (status == 200) {
      takeOrders(sent, answer);
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
      nextReportMs = sim.now() + sim.random().nextInt(REDIRECT_WITHIN_MS);
    } else {
      turnToNextController();
      nextReportMs = sim.now() + NEXT_CONTROLLER_AFTER_MS;
    }
  }

  private void takeOrders(SentReport sent, JsonNode answer) {
    long from = answer.path("epoch").asLong(-1);
    if (from < token || sent.incarnation != incarnation) {
      return;
    }
    seeToken(from);
    answeredReportSentMs = sent.sentMs;
    answer.path("orders").forEach(tasks::execute);
  }
}
