package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.function.Function;
import shorecrank.coordination.step.Input;
import shorecrank.coordination.step.Output;
import shorecrank.protocol.HttpStatus;

/** Carries messages between controllers, workers, users and services, with delays and cuts. */
final class Network {
  private static final int DELAYS_MS = 6;

  private final World world;
  private final Simulation sim;
  private final Cuts cuts;
  private final DuplicateMessages duplicates;
  private final LateMessages lateCommands;
  private final LateMessages lateCloudChanges;
  private final CarriedOutStarts carriedOutStarts = new CarriedOutStarts();
  private final StateServiceLink stateService;

  Network(World world) {
    this.world = world;
    this.sim = world.sim;
    this.cuts = new Cuts(sim, world.faults);
    this.duplicates = new DuplicateMessages(world);
    this.lateCommands = new LateMessages(sim, world.faults);
    this.lateCloudChanges = new LateMessages(sim, world.faults);
    this.stateService = new StateServiceLink(sim, world.faults, world.store);
  }

  /** Returns the cuts of this network. */
  Cuts cuts() {
    return cuts;
  }

  /** Returns the duplication of heartbeats and commands. */
  DuplicateMessages duplicates() {
    return duplicates;
  }

  /** Returns the direct starts that workers have carried out. */
  CarriedOutStarts carriedOutStarts() {
    return carriedOutStarts;
  }

  /** Returns the delays of direct commands. */
  LateMessages lateCommands() {
    return lateCommands;
  }

  /** Returns the delays of requests that rent or release machines. */
  LateMessages lateCloudChanges() {
    return lateCloudChanges;
  }

  /** Returns the link over which requests reach the state service. */
  StateServiceLink stateService() {
    return stateService;
  }

  private long delayMs() {
    return 1 + sim.random().nextInt(DELAYS_MS);
  }

  /** Delivers a message after a random delay, or hands it to the cut in its way. */
  private void send(Optional<Cut> cut, Runnable delivery) {
    if (cut.isEmpty()) {
      sim.after(delayMs(), delivery);
    } else {
      cut.get().intercept(delivery);
    }
  }

  // ---- messages sent by controllers ------------------------------------------------------------

  /**
   * Carries out a controller's call; the controller gets an answer, or none, within the call's
   * timeout.
   */
  void call(SimulatedController from, Output.Call call) {
    ReplyHandler firstAnswer = firstAnswerOnly(from, call);
    sim.after(call.timeoutMs(), firstAnswer::noAnswer);
    if (call.target() instanceof Output.Worker worker) {
      callWorker(from, worker.address(), call.body(), firstAnswer);
    } else if (call.target() instanceof Output.Peer peer) {
      ControllerNode to = world.node(peer.label().value());
      ControllerRequest request =
          new ControllerRequest(true, call.method(), call.path(), call.body());
      sendPeerRequest(from, to, request, firstAnswer);
    } else if (call.target() == Output.Service.STATE) {
      sendStateRequest(
          from,
          call.method(),
          call.path(),
          call.body(),
          (status, body) -> firstAnswer.accept(status, world.rollouts.asReadBy(from, body)));
    } else if (!isCloudChangeHeldUp(call)) {
      callService(
          from,
          LinkKind.CLOUD,
          firstAnswer,
          reply -> world.cloud.handle(call.path(), call.body(), reply));
    }
  }

  private boolean isCloudChangeHeldUp(Output.Call call) {
    return call.method().equals("POST")
        && lateCloudChanges.isHeldUp(
            () -> world.cloud.handle(call.path(), call.body(), ReplyHandler.IGNORE));
  }

  /**
   * Returns a handler that passes on the first answer only, and only if the controller has not
   * restarted since the call.
   */
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

  /**
   * Sends commands directly to a worker; if a cut holds them or they are duplicated, the worker may
   * get them much later.
   */
  private void callWorker(
      SimulatedController from, String address, JsonNode body, ReplyHandler onAnswer) {
    Optional<SimulatedWorker> target =
        world.workers().stream().filter(worker -> worker.address().equals(address)).findFirst();
    if (target.isEmpty()) {
      sim.after(delayMs(), onAnswer::noAnswer);
      return;
    }
    SimulatedWorker worker = target.get();
    if (lateCommands.isHeldUp(() -> worker.takeCommands(body, ReplyHandler.IGNORE))) {
      return;
    }
    sendCommands(worker, direction -> cuts.forWorker(worker, from, direction), body, onAnswer);
  }

  /**
   * Carries direct commands to a worker from a controller that is not known, so that only cuts of
   * the worker itself take effect.
   */
  void sendCommands(SimulatedWorker worker, JsonNode body, ReplyHandler onAnswer) {
    sendCommands(worker, direction -> cuts.forWorker(worker, direction), body, onAnswer);
  }

  private void sendCommands(
      SimulatedWorker worker,
      Function<WorkerDirection, Optional<Cut>> cut,
      JsonNode body,
      ReplyHandler onAnswer) {
    ReplyHandler reply =
        (status, report) -> {
          if (status == HttpStatus.OK) {
            carriedOutStarts.record(worker, body);
          }
          send(cut.apply(WorkerDirection.FROM_WORKER), () -> onAnswer.accept(status, report));
        };
    send(cut.apply(WorkerDirection.TO_WORKER), () -> worker.takeCommands(body, reply));
    duplicates.onCommandsSent(worker, body);
  }

  /** Carries a request from one controller to another; there may be no answer. */
  void sendPeerRequest(
      ControllerNode from, ControllerNode to, ControllerRequest request, ReplyHandler onAnswer) {
    if (cuts.refuses(from, LinkKind.PEERS)) {
      sim.after(delayMs(), onAnswer::unavailable);
      return;
    }
    ReplyHandler reply =
        (status, body) -> send(cuts.betweenPeers(to, from), () -> onAnswer.accept(status, body));
    send(cuts.betweenPeers(from, to), () -> to.receive(request, reply));
  }

  /** Carries a controller's request to the state service; there may be no answer. */
  void sendStateRequest(
      ControllerNode from, String method, String path, JsonNode body, ReplyHandler onAnswer) {
    callService(
        from, LinkKind.STATE, onAnswer, reply -> stateService.send(method, path, body, reply));
  }

  /** Handles a request to a regional service. */
  @FunctionalInterface
  private interface Service {
    void handle(ReplyHandler reply);
  }

  private void callService(
      ControllerNode from, LinkKind link, ReplyHandler onAnswer, Service service) {
    Optional<Cut> cut = cuts.forRegionalService(from, link);
    if (cut.isPresent() && cut.get().refuses()) {
      sim.after(delayMs(), onAnswer::unavailable);
      return;
    }
    ReplyHandler reply =
        (status, body) ->
            send(cuts.forRegionalService(from, link), () -> onAnswer.accept(status, body));
    send(cut, () -> service.handle(reply));
  }

  // ---- messages sent to controllers ------------------------------------------------------------

  /** Sends a worker's heartbeat to a controller. */
  void sendHeartbeat(
      SimulatedWorker from, ControllerNode to, JsonNode body, ReplyHandler onAnswer) {
    Optional<Cut> cut = cuts.forWorker(from, to, WorkerDirection.FROM_WORKER);
    if (!to.isUp() && cut.isEmpty()) {
      // The controller's machine is up but its process is not, so that the connection is refused.
      sim.after(delayMs(), onAnswer::noAnswer);
      return;
    }
    ReplyHandler reply =
        (status, answer) ->
            send(
                cuts.forWorker(from, to, WorkerDirection.TO_WORKER),
                () -> onAnswer.accept(status, answer));
    send(cut, () -> to.receive(ControllerRequest.heartbeat(body), reply));
    duplicates.onHeartbeatSent(to, body);
  }

  /**
   * Sends a user's request to a controller. Cuts don't affect the answer, because it uses the open
   * connection.
   */
  void sendUserRequest(ControllerNode to, ControllerRequest request, ReplyHandler onAnswer) {
    ReplyHandler reply = (status, body) -> sim.after(1, () -> onAnswer.accept(status, body));
    send(cuts.forRegionalService(to, LinkKind.USERS), () -> to.receive(request, reply));
  }
}
