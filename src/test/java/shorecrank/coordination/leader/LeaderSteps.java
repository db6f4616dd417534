package shorecrank.coordination.leader;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import shorecrank.config.NodeConfig;
import shorecrank.config.NodeConfig.Address;
import shorecrank.config.NodeConfig.CloudLimits;
import shorecrank.config.NodeConfig.Member;
import shorecrank.config.NodeConfig.ProcessLimits;
import shorecrank.config.NodeConfig.StateLimits;
import shorecrank.config.NodeConfig.WorkerTimings;
import shorecrank.config.Settings;
import shorecrank.coordination.step.Input;
import shorecrank.coordination.step.Output;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.HeartbeatMessages.Heartbeat;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Ids.WriterId;

/**
 * Runs steps of controller n1, which leads a fleet of four controllers: n1 and n2 in zone a, n3 in
 * zone b, n4 in zone c. The fleet has two shards, and leases last 6 s.
 */
final class LeaderSteps {
  static final ControllerName N1 = new ControllerName("n1");
  static final ControllerName N2 = new ControllerName("n2");
  static final ControllerName N3 = new ControllerName("n3");
  static final ControllerName N4 = new ControllerName("n4");
  static final Revision TERM = new Revision(9);

  private static final Address UNUSED_ADDRESS = new Address("127.0.0.1", 1);

  final StepContext context;
  final LoadedTerm loadedTerm;
  final ShardLeaseTable shards;
  final ControllerTable controllers;
  private final Deque<Output.Call> stateCalls = new ArrayDeque<>();
  private long nowMs = 100_000;

  LeaderSteps() {
    NodeConfig config =
        new NodeConfig(
            N1,
            "a",
            UNUSED_ADDRESS,
            UNUSED_ADDRESS,
            List.of(
                new Member(N2, "a", UNUSED_ADDRESS),
                new Member(N3, "b", UNUSED_ADDRESS),
                new Member(N4, "c", UNUSED_ADDRESS)),
            UNUSED_ADDRESS,
            UNUSED_ADDRESS,
            Map.of(),
            List.of(),
            new WorkerTimings(4, 30, 60),
            new StateLimits(100, 100, 8, 20),
            new CloudLimits(10, 1),
            new ProcessLimits(1, 256, 100));
    Settings settings =
        new Settings(2, 6000, 2000, 8000, 60_000, 3000, 4, 100, 20, 50, 300, 300, 120);
    context = new StepContext(config, settings, new WriterId("n1.1"));
    loadedTerm = new LoadedTerm(context);
    shards = new ShardLeaseTable(context);
    controllers = new ControllerTable(context);
    step(
        () -> {
          loadedTerm.markLoaded(TERM);
          shards.reset();
        });
  }

  /** Runs a step after advancing the clock. */
  void after(long ms, Runnable step) {
    nowMs += ms;
    step(step);
  }

  /** Runs a step at the present time. */
  void step(Runnable step) {
    context.begin(new MonotonicTime(nowMs), nowMs, 1);
    step.run();
    for (Output output : context.end()) {
      if (output instanceof Output.Call call && call.target() == Output.Service.STATE) {
        stateCalls.add(call);
      }
    }
  }

  /** Returns the number of calls to the state service that have no answer yet. */
  int pendingStateCalls() {
    return stateCalls.size();
  }

  /** Answers the oldest pending call to the state service, and returns the call's body. */
  JsonNode answerState(int status, JsonNode body) {
    Output.Call call = stateCalls.remove();
    step(() -> context.handleAnswer(new Input.Answer(call.call(), status, body)));
    return call.body();
  }

  /** Records a heartbeat of a controller. */
  void receiveHeartbeat(
      ControllerName from, boolean storeReachable, Map<ShardId, Integer> misroutedWorkers) {
    step(
        () ->
            controllers.recordHeartbeat(
                new Heartbeat(
                    from,
                    writer(from),
                    storeReachable,
                    0,
                    List.of(),
                    List.of(),
                    misroutedWorkers,
                    null)));
  }

  /** Returns the id of a controller's only process. */
  static WriterId writer(ControllerName controller) {
    return new WriterId(controller + ".1");
  }
}
