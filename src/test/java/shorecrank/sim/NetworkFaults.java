package shorecrank.sim;

import java.util.Map;
import java.util.function.Function;

/**
 * Scenario actions that cut links between controllers, workers, zones and services, or duplicate
 * messages.
 */
final class NetworkFaults {
  static final Map<String, Action.Reader> ACTIONS =
      Map.ofEntries(
          Map.entry("cut", NetworkFaults::cut),
          Map.entry("isolate-zone", NetworkFaults::isolateZone),
          Map.entry("partition-zones", NetworkFaults::partition),
          Map.entry("cut-worker", line -> cutWorkers(line, WorkerDirection.BOTH)),
          Map.entry("cut-answers", line -> cutWorkers(line, WorkerDirection.TO_WORKER)),
          Map.entry("cut-heartbeats", line -> cutWorkers(line, WorkerDirection.FROM_WORKER)),
          Map.entry("duplicate-heartbeats", NetworkFaults::duplicateHeartbeats),
          Map.entry("replay-to-next-leader", NetworkFaults::replayToNextLeader),
          Map.entry("repeat-starts", NetworkFaults::repeatStarts),
          Map.entry("late-commands", line -> holdUp(line, Network::lateCommands)),
          Map.entry("late-cloud", line -> holdUp(line, Network::lateCloudChanges)));

  private NetworkFaults() {}

  /**
   * Parses {@code cut WHO LINK SECONDS [drop|hold|refuse]}: cuts the controllers' links of one
   * kind.
   */
  private static Action cut(ScenarioLine line) {
    ControllerSelector selector = ControllerSelector.read(line, 1);
    LinkKind link = line.constant(2, LinkKind.class);
    long durationMs = line.milliseconds(3);
    CutMode mode = mode(line, 4);
    return world ->
        selector.forEach(
            world, node -> world.network.cuts().cutLinks(node, link, durationMs, mode));
  }

  /**
   * Parses {@code isolate-zone WHO SECONDS [MODE]}: cuts off a controller's zone from everything
   * outside it.
   */
  private static Action isolateZone(ScenarioLine line) {
    ControllerSelector selector = ControllerSelector.read(line, 1);
    long durationMs = line.milliseconds(2);
    CutMode mode = mode(line, 3);
    return world ->
        selector.select(world).stream()
            .findFirst()
            .ifPresent(node -> world.network.cuts().isolateZone(node.zone(), durationMs, mode));
  }

  /**
   * Parses {@code partition-zones ZONE ZONE SECONDS [MODE]}: cuts two zones off from each other.
   */
  private static Action partition(ScenarioLine line) {
    String one = line.word(1);
    String other = line.word(2);
    long durationMs = line.milliseconds(3);
    CutMode mode = mode(line, 4);
    return world -> world.network.cuts().separateZones(one, other, durationMs, mode);
  }

  /**
   * Parses {@code NAME MACHINES SECONDS [MODE]}: cuts links between workers and all controllers, in
   * one direction or both.
   */
  private static Action cutWorkers(ScenarioLine line, WorkerDirection direction) {
    MachineSelector machines = MachineSelector.read(line, 1);
    long durationMs = line.milliseconds(2);
    CutMode mode = mode(line, 3);
    return world ->
        machines.forEach(
            world,
            worker -> world.network.cuts().cutWorker(worker.name(), direction, durationMs, mode));
  }

  /**
   * Parses {@code duplicate-heartbeats SECONDS LATE_S [in-order]}: delivers each heartbeat and
   * direct command of this time twice, the second time late.
   */
  private static Action duplicateHeartbeats(ScenarioLine line) {
    long durationMs = line.milliseconds(1);
    double lateS = line.decimal(2);
    boolean inOrder = line.has(3);
    return world -> world.network.duplicates().duplicateFor(durationMs, lateS, inOrder);
  }

  /**
   * Parses {@code replay-to-next-leader SECONDS}: delivers copies of this time's heartbeats again
   * under the next leader.
   */
  private static Action replayToNextLeader(ScenarioLine line) {
    long durationMs = line.milliseconds(1);
    return world -> world.network.duplicates().replayToNextLeader(durationMs);
  }

  /**
   * Parses {@code repeat-starts}: delivers a copy of each direct command with starts that a worker
   * has carried out.
   */
  private static Action repeatStarts(ScenarioLine line) {
    return world -> {
      world.faults.addFault(0);
      world.network.carriedOutStarts().deliverCopies();
    };
  }

  /**
   * Parses {@code NAME SHARE SECONDS UPTO_S}: a share of the messages of one kind gets no answer
   * and is carried out once, up to so many seconds later.
   */
  private static Action holdUp(ScenarioLine line, Function<Network, LateMessages> messages) {
    double share = line.decimal(1);
    long durationMs = line.milliseconds(2);
    double maxDelayS = line.decimal(3);
    return world -> messages.apply(world.network).holdUp(share, durationMs, maxDelayS);
  }

  private static CutMode mode(ScenarioLine line, int index) {
    return line.has(index) ? line.constant(index, CutMode.class) : CutMode.DROP;
  }
}
