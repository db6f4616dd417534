package shorecrank.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The network cuts of a run: of controllers' links, of zones, and of single workers. */
final class Cuts {
  /** Stands for the zone of users, the state service and the cloud, which are in no zone. */
  private static final String REGIONAL = "";

  /** A cut of one controller's links of one kind. */
  private record LinkCut(LinkKind link, Cut cut) {}

  /** A cut of the messages to or from one worker. */
  private record WorkerCut(WorkerDirection direction, Cut cut) {}

  /**
   * A cut between two zones, or between one zone and everything outside it if {@code other} is
   * null.
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

  /** Cuts a controller's links of one kind from now on. */
  void cutLinks(ControllerNode node, LinkKind link, long durationMs, CutMode mode) {
    Cut cut = startCut(durationMs, mode);
    controllerCuts.computeIfAbsent(node, k -> new ArrayList<>()).add(new LinkCut(link, cut));
  }

  /** Cuts off a worker from now on, in one direction or both. */
  void cutWorker(String worker, WorkerDirection direction, long durationMs, CutMode mode) {
    Cut cut = startCut(durationMs, mode);
    workerCuts.computeIfAbsent(worker, k -> new ArrayList<>()).add(new WorkerCut(direction, cut));
  }

  /** Cuts off a zone from everything outside it. */
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

  /**
   * Returns the active cut between a controller and the users or a regional service; empty if there
   * is none.
   */
  Optional<Cut> forRegionalService(ControllerNode node, LinkKind link) {
    return forLinks(node, link).or(() -> betweenZones(node.zone(), REGIONAL));
  }

  /**
   * Reports whether requests that a controller sends over links of this kind are refused at once.
   */
  boolean refuses(ControllerNode node, LinkKind link) {
    return forLinks(node, link).map(Cut::refuses).orElse(false);
  }

  /** Returns the active cut between two controllers; empty if there is none. */
  Optional<Cut> betweenPeers(ControllerNode one, ControllerNode other) {
    return forLinks(one, LinkKind.PEERS)
        .or(() -> forLinks(other, LinkKind.PEERS))
        .or(() -> betweenZones(one.zone(), other.zone()));
  }

  /**
   * Returns the active cut in one direction between a worker and a controller; empty if there is
   * none.
   */
  Optional<Cut> forWorker(SimulatedWorker worker, ControllerNode node, WorkerDirection direction) {
    return forWorker(worker, direction)
        .or(() -> forLinks(node, LinkKind.WORKERS))
        .or(() -> betweenZones(node.zone(), worker.zone()));
  }

  /** Returns the active cut of a worker from all controllers; empty if there is none. */
  Optional<Cut> forWorker(SimulatedWorker worker, WorkerDirection direction) {
    return workerCuts.getOrDefault(worker.name(), List.of()).stream()
        .filter(c -> c.cut.isActive(sim.now()) && c.direction.includes(direction))
        .map(WorkerCut::cut)
        .findFirst();
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
