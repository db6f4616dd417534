package shorecrank.sim;

import java.util.Map;
import java.util.Set;
import shorecrank.sim.World.Mode;

/** Cuts between controllers, workers, zones and services, and messages that arrive twice. */
final class NetworkFaults {
  static final Map<String, Action.Reader> ACTIONS =
      Map.of(
          "cut", NetworkFaults::cut,
          "zonecut", NetworkFaults::zoneCut,
          "partition", NetworkFaults::partition,
          "silence", line -> cutWorkers(line, "worker"),
          "deafen", line -> cutWorkers(line, "answers"),
          "mute", line -> cutWorkers(line, "reports"),
          "copies", NetworkFaults::copies,
          "copies-for-next", NetworkFaults::copiesForNext);

  private static final Set<String> LINKS =
      Set.of("state", "cloud", "peers", "workers", "users", "all");

  private NetworkFaults() {}

  /** {@code cut WHO LINK SECONDS [drop|hold|refuse]}: controllers lose a kind of links. */
  private static Action cut(ScenarioLine line) {
    ControllerSelector who = ControllerSelector.read(line, 1);
    String link = line.word(2);
    if (!LINKS.contains(link)) {
      throw line.error("'" + link + "' is no link, there are " + LINKS);
    }
    long durationMs = line.milliseconds(3);
    Mode mode = mode(line, 4);
    return world -> who.forEach(world, node -> world.cut(node, link, durationMs, mode));
  }

  /** {@code zonecut WHO SECONDS [MODE]}: the zone of a controller loses all that is outside. */
  private static Action zoneCut(ScenarioLine line) {
    ControllerSelector who = ControllerSelector.read(line, 1);
    long durationMs = line.milliseconds(2);
    Mode mode = mode(line, 3);
    return world ->
        who.select(world).stream()
            .findFirst()
            .ifPresent(node -> world.cutZone(node.zone, null, durationMs, mode));
  }

  /** {@code partition ZONE ZONE SECONDS [MODE]}: two zones lose each other. */
  private static Action partition(ScenarioLine line) {
    String one = line.word(1);
    String other = line.word(2);
    long durationMs = line.milliseconds(3);
    Mode mode = mode(line, 4);
    return world -> world.cutZone(one, other, durationMs, mode);
  }

  /** {@code NAME MACHINES SECONDS [MODE]}: both ways, or one, between workers and controllers. */
  private static Action cutWorkers(ScenarioLine line, String direction) {
    MachineSelector machines = MachineSelector.read(line, 1);
    long durationMs = line.milliseconds(2);
    Mode mode = mode(line, 3);
    return world ->
        machines.forEach(world, worker -> world.cutWorker(worker, direction, durationMs, mode));
  }

  /** {@code copies SECONDS LATE_S [in-order]}: for a while every report arrives twice. */
  private static Action copies(ScenarioLine line) {
    long durationMs = line.milliseconds(1);
    double lateS = line.decimal(2);
    boolean inOrder = line.has(3);
    return world -> world.copies(durationMs, lateS, inOrder);
  }

  /** {@code copies-for-next SECONDS}: copies of a while's reports arrive under the next leader. */
  private static Action copiesForNext(ScenarioLine line) {
    long durationMs = line.milliseconds(1);
    return world -> world.copiesForNext(durationMs);
  }

  private static Mode mode(ScenarioLine line, int index) {
    return line.has(index) ? line.constant(index, Mode.class) : Mode.DROP;
  }
}
