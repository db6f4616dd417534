package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import shorecrank.coordination.step.Input;
import shorecrank.coordination.step.Output;

/** Carries messages between all who take part, across delays and cuts. */
final class Network {
  private static final int DELAYS_MS = 6;

  private final World world;
  private final Simulation sim;
  private final Cuts cuts;
  private final DuplicateMessages duplicates;
  private final StateServiceLink stateService;

  Network(World world) {
    this.world = world;
    this.sim = world.sim;
    this.cuts = new Cuts(sim, world.faults);
    this.duplicates = new DuplicateMessages(world);
    this.stateService = new StateServiceLink(sim, world.faults, world.store);
  }

  /** What is cut, and is to be. */
  Cuts cuts() {
    return cuts;
  }

  /** Which messages arrive twice. */
  DuplicateMessages duplicates() {
    return duplicates;
  }

  /** How requests reach the state service. */
  StateServiceLink stateService() {
    return stateService;
  }

  private long delayMs() {
    return 1 + sim.random().nextInt(DELAYS_MS);
  }

  /** Delivers after a delay, or as the cut that is in the way has it. */
  private void send(Optional<Cut> cut, Runnable delivery) {
    if (cut.isEmpty()) {
      sim.after(delayMs(), delivery);
    } else {
      cut.get().intercept(delivery);
    }
  }

  // ---- from controllers ------------------------------------------------------------------------

  /** Carries a controller's call out; it has the answer, or none, within the call's time. */
  void call(SimulatedController from, Output.Call call) {
    ReplyHandler firstAnswer = firstAnswerOnly(from, call);
    sim.after(call.timeoutMs(), firstAnswer::noAnswer);
    if (call.target() instanceof Output.Worker worker) {
      callWorker(from, worker.address(), call.body(), firstAnswer);
    } else if (call.target() instanceof Output.Peer peer) {
      callPeer(from, world.node(peer.label().value()), call, firstAnswer);
    } else if (call.target() == Output.Service.STATE) {
      callService(
          from,
          LinkKind.STATE,
          firstAnswer,
          reply -> stateService.send(call.method(), call.path(), call.body(), reply));
    } else {
      callService(
          from,
          LinkKind.CLOUD,
          firstAnswer,
          reply -> world.cloud.handle(call.path(), call.body(), reply));
    }
  }

  /** Only the first answer counts, and only to the process that has asked. */
  private ReplyHandler firstAnswerOnly(SimulatedController from, Output.Call call) {
    int startNumber = from.startCount();
    boolean[] answered = new boolean[1];
    return (status, body) -> {
      if (!answered[0] && from.isSameRun(startNumber)) {
        answered[0] = true;
        world.counters.recordWatchChanges(body.path("news").size());
        from.input(new Input.Answer(call.call(), status, body));
      }
    };
  }

  /** Commands straight to a worker: held or copied, they may be carried out long after. */
  private void callWorker(
      SimulatedController from, String address, JsonNode body, ReplyHandler back) {
    Optional<SimulatedWorker> found =
        world.workers().stream().filter(worker -> worker.address().equals(address)).findFirst();
    if (found.isEmpty()) {
      sim.after(delayMs(), back::noAnswer);
      return;
    }
    SimulatedWorker worker = found.get();
    ReplyHandler reply =
        (status, report) ->
            send(
                cuts.forWorker(worker, from, WorkerDirection.FROM_WORKER),
                () -> back.accept(status, report));
    send(
        cuts.forWorker(worker, from, WorkerDirection.TO_WORKER),
        () -> worker.takeCommands(body, reply));
    duplicates.onCommandsSent(worker, body);
  }

  private void callPeer(
      SimulatedController from, ControllerNode to, Output.Call call, ReplyHandler back) {
    if (cuts.refuses(from, LinkKind.PEERS)) {
      sim.after(delayMs(), back::unavailable);
      return;
    }
    ControllerRequest request =
        new ControllerRequest(true, call.method(), call.path(), call.body());
    ReplyHandler reply =
        (status, body) -> send(cuts.betweenPeers(to, from), () -> back.accept(status, body));
    send(cuts.betweenPeers(from, to), () -> to.receive(request, reply));
  }

  /** What a regional service does with a request. */
  @FunctionalInterface
  private interface Service {
    void handle(ReplyHandler reply);
  }

  private void callService(
      SimulatedController from, LinkKind link, ReplyHandler back, Service service) {
    Optional<Cut> cut = cuts.forRegionalService(from, link);
    if (cut.isPresent() && cut.get().refuses()) {
      sim.after(delayMs(), back::unavailable);
      return;
    }
    ReplyHandler reply =
        (status, body) ->
            send(
                cuts.forRegionalService(from, link),
                () -> back.accept(status, world.rollouts.asReadBy(from, body)));
    send(cut, () -> service.handle(reply));
  }

  // ---- to controllers --------------------------------------------------------------------------

  /** A worker's heartbeat to a controller. */
  void sendHeartbeat(SimulatedWorker from, ControllerNode to, JsonNode body, ReplyHandler back) {
    Optional<Cut> cut = cuts.forWorker(from, to, WorkerDirection.FROM_WORKER);
    if (!to.isUp() && cut.isEmpty()) {
      // The machine is there, the process is not: the connection is refused.
      sim.after(delayMs(), back::noAnswer);
      return;
    }
    ReplyHandler reply =
        (status, answer) ->
            send(
                cuts.forWorker(from, to, WorkerDirection.TO_WORKER),
                () -> back.accept(status, answer));
    send(cut, () -> to.receive(ControllerRequest.heartbeat(body), reply));
    duplicates.onHeartbeatSent(to, body);
  }

  /** A user's request; answers come back whatever is cut, as the connection is open. */
  void sendUserRequest(ControllerNode to, ControllerRequest request, ReplyHandler back) {
    ReplyHandler reply = (status, body) -> sim.after(1, () -> back.accept(status, body));
    send(cuts.forRegionalService(to, LinkKind.USERS), () -> to.receive(request, reply));
  }
}
