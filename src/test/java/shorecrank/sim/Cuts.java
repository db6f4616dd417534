package shorecrank.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The cuts of a run: of controllers' links, of zones, and of single workers. */
final class Cuts {
  /** Users, the state service and the cloud are in no zone. */
  private static final String REGIONAL = "";

  /** Some links of one controller. */
  private record LinkCut(LinkKind link, Cut cut) {}

  /** What goes to or from one worker. */
  private record WorkerCut(WorkerDirection direction, Cut cut) {}

  /**
   * Two zones that can't reach each other, or one that reaches nothing outside if other is null.
   */
  private record ZoneCut(String zone, String other, Cut cut) {
    boolean isBetween(String one, String two) {
      return other == null
          ? one.equals(zone) != two.equals(zone)
          : (one.equals(zone) && two.equals(other)) || (one.equals(other) && two.equals(zone));
    }
  }

  private final Simulation sim;
  private final FaultPeriod faults;
  private final Map<ControllerNode, List<LinkCut>> controllerCuts = new HashMap<>();
  private final Map<String, List<WorkerCut>> workerCuts = new HashMap<>();
  private final List<ZoneCut> zoneCuts = new ArrayList<>();

  Cuts(Simulation sim, FaultPeriod faults) {
    this.sim = sim;
    this.faults = faults;
  }

  /** Cuts links of a controller from now on. */
  void cutLinks(ControllerNode node, LinkKind link, long durationMs, CutMode mode) {
    Cut cut = startCut(durationMs, mode);
    controllerCuts.computeIfAbsent(node, k -> new ArrayList<>()).add(new LinkCut(link, cut));
  }

  /** Cuts a worker off from now on, one way or both. */
  void cutWorker(String worker, WorkerDirection direction, long durationMs, CutMode mode) {
    Cut cut = startCut(durationMs, mode);
    workerCuts.computeIfAbsent(worker, k -> new ArrayList<>()).add(new WorkerCut(direction, cut));
  }

  /** Cuts a zone off from all that is outside. */
  void isolateZone(String zone, long durationMs, CutMode mode) {
    zoneCuts.add(new ZoneCut(zone, null, startCut(durationMs, mode)));
  }

  /** Cuts two zones off from each other. */
  void separateZones(String zone, String other, long durationMs, CutMode mode) {
    zoneCuts.add(new ZoneCut(zone, other, startCut(durationMs, mode)));
  }

  private Cut startCut(long durationMs, CutMode mode) {
    faults.addFault(durationMs);
    Cut cut = new Cut(sim.now() + durationMs, mode);
    sim.after(durationMs, cut::deliverHeld);
    return cut;
  }

  /** The cut between a controller and the users or a regional service, if there is one now. */
  Optional<Cut> forRegionalService(ControllerNode node, LinkKind link) {
    return forLinks(node, link).or(() -> betweenZones(node.zone(), REGIONAL));
  }

  /** Whether a controller is told at once that it can't use its links of a kind. */
  boolean refuses(ControllerNode node, LinkKind link) {
    return forLinks(node, link).map(Cut::refuses).orElse(false);
  }

  /** The cut between two controllers, if there is one now. */
  Optional<Cut> betweenPeers(ControllerNode one, ControllerNode other) {
    return forLinks(one, LinkKind.PEERS)
        .or(() -> forLinks(other, LinkKind.PEERS))
        .or(() -> betweenZones(one.zone(), other.zone()));
  }

  /** The cut of what goes one way between a worker and a controller, if there is one now. */
  Optional<Cut> forWorker(SimulatedWorker worker, ControllerNode node, WorkerDirection direction) {
    return workerCuts.getOrDefault(worker.name(), List.of()).stream()
        .filter(c -> c.cut.isActive(sim.now()) && c.direction.includes(direction))
        .map(WorkerCut::cut)
        .findFirst()
        .or(() -> forLinks(node, LinkKind.WORKERS))
        .or(() -> betweenZones(node.zone(), worker.zone()));
  }

  private Optional<Cut> forLinks(ControllerNode node, LinkKind link) {
    return controllerCuts.getOrDefault(node, List.of()).stream()
        .filter(c -> c.cut.isActive(sim.now()) && c.link.includes(link))
        .map(LinkCut::cut)
        .findFirst();
  }

  private Optional<Cut> betweenZones(String one, String other) {
    return zoneCuts.stream()
        .filter(c -> c.cut.isActive(sim.now()) && c.isBetween(one, other))
        .map(ZoneCut::cut)
        .findFirst();
  }
}
