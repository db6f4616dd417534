package shorecrank.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The leases of the state service; each ends when it has not been renewed in time. */
final class StateServiceLeases {
  private final Simulation sim;
  private final Map<Long, Long> endsAtMs = new HashMap<>();
  private final Map<Long, Long> durationsMs = new HashMap<>();
  private long nextId = 1;

  StateServiceLeases(Simulation sim) {
    this.sim = sim;
  }

  /** Grants a lease; returns its id. */
  long grant(long durationMs) {
    long id = nextId++;
    endsAtMs.put(id, sim.now() + durationMs);
    durationsMs.put(id, durationMs);
    return id;
  }

  /** Whether a lease was granted and has not ended. */
  boolean contains(long id) {
    return endsAtMs.containsKey(id);
  }

  /** Gives a lease its full time again. */
  void renew(long id) {
    endsAtMs.put(id, sim.now() + durationsMs.get(id));
  }

  /** Gives all leases their full time again. */
  void renewAll() {
    endsAtMs.replaceAll((id, end) -> sim.now() + durationsMs.get(id));
  }

  /** Ends a lease. */
  void remove(long id) {
    endsAtMs.remove(id);
  }

  /** Those whose time has run out. */
  List<Long> expired() {
    List<Long> expired = new ArrayList<>(endsAtMs.keySet());
    expired.removeIf(id -> endsAtMs.get(id) >= sim.now());
    return expired;
  }
}
