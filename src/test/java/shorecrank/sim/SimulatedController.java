package shorecrank.sim;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
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

/** A controller whose state machine runs inside the test's process, on the simulated clock. */
final class SimulatedController extends ControllerNode {
  private static final long TICK_MS = 50;
  private static final long FIRST_TICK_MS = 20;
  private static final int FIRST_TICK_SPREAD_MS = 50;

  /**
   * A controller's clock runs faster or slower than simulated time by up to half of this fraction.
   */
  private static final double CLOCK_DRIFT_RANGE = 0.001;

  private static final int MAX_CLOCK_OFFSET_MS = 1_000_000;

  /** Wall-clock time at which a run begins, in milliseconds since 1970. */
  private static final long WALL_CLOCK_START_MS = 1_000_000_000_000L;

  private final Simulation sim;
  private final double clockRate;
  private final long clockOffsetMs;
  private final Map<Long, ReplyHandler> replies = new HashMap<>();
  private long nextReply = 1;
  private ControllerStateMachine stateMachine;
  private SimulatedProcessor processor;
  private long frozenUntilMs = -1;
  private long busyNanos;

  SimulatedController(World world, int index) {
    super(world, index);
    this.sim = world.sim;
    this.clockRate = 1 + (sim.random().nextDouble() - 0.5) * CLOCK_DRIFT_RANGE;
    this.clockOffsetMs = sim.random().nextInt(MAX_CLOCK_OFFSET_MS);
  }

  /** Returns the processor time of all steps, in nanoseconds; 0 if it is not measured. */
  long busyNanos() {
    return busyNanos;
  }

  @Override
  void launch() {
    RolloutSetup setup = world().rollouts.setupForStart(this);
    WriterId writer = new WriterId(label() + "." + startCount());
    stateMachine =
        new ControllerStateMachine(
            NodeConfigWriter.config(world(), this),
            world().rollouts.settings(this),
            writer,
            setup,
            world().shares.settingsFor(this));
    processor =
        world()
            .site
            .processorCosts()
            .map(
                costs ->
                    new SimulatedProcessor(sim, costs, () -> isUp() && !ownedEpochs().isEmpty()))
            .orElse(null);
    int startNumber = startCount();
    sim.after(FIRST_TICK_MS + sim.random().nextInt(FIRST_TICK_SPREAD_MS), () -> tick(startNumber));
  }

  @Override
  void kill() {
    stateMachine = null;
    replies.clear();
  }

  @Override
  void freeze(long durationMs) {
    frozenUntilMs = sim.now() + durationMs;
  }

  private void tick(int startNumber) {
    if (!isSameRun(startNumber)) {
      return;
    }
    if (sim.now() < frozenUntilMs) {
      sim.at(frozenUntilMs, () -> tick(startNumber));
      return;
    }
    Input round = new Input.Tick(() -> false);
    if (processor == null) {
      runRound(round, startNumber);
    } else {
      processor.execute(round, () -> isSameRun(startNumber), () -> runRound(round, startNumber));
    }
  }

  private void runRound(Input round, int startNumber) {
    if (processor != null && processor.isOverloaded()) {
      step(new Input.HeartbeatsDelayed());
    }
    step(round);
    world().checker.roundCompleted(this);
    world().counters.addRounds(stateMachine.ownedEpochs().size());
    sim.after(TICK_MS, () -> tick(startNumber));
  }

  /**
   * Passes an input to the state machine. A frozen controller processes it when the freeze ends.
   */
  void input(Input input) {
    int startNumber = startCount();
    if (sim.now() >= frozenUntilMs) {
      if (processor == null) {
        step(input);
      } else {
        processor.execute(input, () -> isSameRun(startNumber), () -> step(input));
      }
      return;
    }
    sim.at(
        frozenUntilMs,
        () -> {
          if (isSameRun(startNumber)) {
            input(input);
          }
        });
  }

  @Override
  void handle(ControllerRequest request, ReplyHandler reply) {
    long id = nextReply++;
    replies.put(id, reply);
    byte[] body = request.body() == null ? new byte[0] : Json.bytes(request.body());
    input(new Input.Request(id, request.peer(), request.method(), request.path(), body));
  }

  @Override
  Map<ShardId, Epoch> ownedEpochs() {
    return stateMachine.ownedEpochs();
  }

  @Override
  Set<MachineName> commandedMachines() {
    return isUp() ? stateMachine.commandedMachines(localTime()) : Set.of();
  }

  @Override
  Map<ShardId, Epoch> commandedEpochs() {
    return isUp() ? stateMachine.commandedEpochs(localTime()) : Map.of();
  }

  private MonotonicTime localTime() {
    return new MonotonicTime((long) (sim.now() * clockRate) + clockOffsetMs);
  }

  private void step(Input input) {
    MonotonicTime now = localTime();
    long startNanos = System.nanoTime();
    List<Output> outputs =
        stateMachine.step(input, now, WALL_CLOCK_START_MS + sim.now(), sim.random().nextLong());
    busyNanos += world().recorder.recordStep(input, System.nanoTime() - startNanos, outputs);
    for (Output output : outputs) {
      world().recorder.recordOutput(this, output);
      perform(output);
    }
  }

  private void perform(Output output) {
    if (output instanceof Output.Reply reply) {
      ReplyHandler handler = replies.remove(reply.reply());
      if (handler != null) {
        handler.accept(reply.status(), reply.body());
      }
    } else if (output instanceof Output.Call call) {
      world().network.call(this, call);
    } else if (output instanceof Output.Count count) {
      world().counters.count(count.metric(), count.by());
    } else if (output instanceof Output.Gauge gauge) {
      world().counters.gauge(gauge.metric(), gauge.value());
    } else if (output instanceof Output.Log log) {
      world().log.add(label(), log.text());
    }
  }
}
