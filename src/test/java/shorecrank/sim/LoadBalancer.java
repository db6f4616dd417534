package shorecrank.sim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The load balancer between users and controllers, as the protocol describes it: it probes {@code
 * GET /healthz} of each controller about once a second, and gives new connections to healthy
 * controllers, preferring those with fewer open ones. Each request opens a connection of its own.
 */
final class LoadBalancer {
  private static final long PROBE_EVERY_MS = 1000;
  private static final int PROBE_JITTER_MS = 100;
  private static final int MAX_TRIES = 3;

  private final World world;
  private final Simulation sim;
  private final Map<ControllerNode, BackendHealth> backends = new HashMap<>();
  private final Map<ControllerNode, Integer> openConnections = new HashMap<>();

  /** Creates a load balancer whose probes of all controllers begin now. */
  LoadBalancer(World world) {
    this.world = world;
    this.sim = world.sim;
    for (ControllerNode node : world.controllers()) {
      backends.put(node, new BackendHealth(sim));
      sim.after(sim.random().nextInt((int) PROBE_EVERY_MS), () -> probe(node));
    }
  }

  private void probe(ControllerNode node) {
    BackendHealth.Probe probe = backends.get(node).beginProbe();
    sim.after(BackendHealth.PROBE_TIMEOUT_MS, probe::fail);
    if (node.isUp()) {
      world.network.sendUserRequest(
          node,
          new ControllerRequest(false, "GET", "/healthz", null),
          (status, body) -> probe.finish(status == 200));
    } else {
      probe.fail();
    }
    sim.after(
        PROBE_EVERY_MS + sim.random().nextInt(PROBE_JITTER_MS) - PROBE_JITTER_MS / 2,
        () -> probe(node));
  }

  /**
   * Opens a connection to a healthy controller.
   *
   * @return the controller; empty if there is no healthy one, or three have refused
   */
  Optional<ControllerNode> connect() {
    List<ControllerNode> candidates = new ArrayList<>();
    for (ControllerNode node : world.controllers()) {
      if (backends.get(node).isUsable()) {
        candidates.add(node);
      }
    }
    for (int tries = 0; tries < MAX_TRIES && !candidates.isEmpty(); tries++) {
      ControllerNode chosen = choose(candidates);
      candidates.remove(chosen);
      backends.get(chosen).recordConnection(chosen.isUp());
      if (chosen.isUp()) {
        openConnections.merge(chosen, 1, Integer::sum);
        return Optional.of(chosen);
      }
    }
    return Optional.empty();
  }

  /** Records that a connection to the controller is closed. */
  void disconnect(ControllerNode node) {
    openConnections.merge(node, -1, Integer::sum);
  }

  /** Chooses the candidate with the fewest connections relative to its share, at random if tied. */
  private ControllerNode choose(List<ControllerNode> candidates) {
    Map<ControllerNode, Double> order = new HashMap<>();
    for (ControllerNode node : candidates) {
      double load = openConnections.getOrDefault(node, 0) + sim.random().nextDouble();
      order.put(node, load / backends.get(node).share());
    }
    return candidates.stream().min(Comparator.comparing(order::get)).orElseThrow();
  }
}
