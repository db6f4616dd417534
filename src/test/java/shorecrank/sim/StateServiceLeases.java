package shorecrank.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The leases of the simulated state service; a lease that is not renewed in time expires. */
final class StateServiceLeases {
  private final Simulation sim;
  private final Map<Long, Long> endsAtMs = new HashMap<>();
  private final Map<Long, Long> durationsMs = new HashMap<>();
  private long nextId = 1;

  StateServiceLeases(Simulation sim) {
    this.sim = sim;
  }

  /** Grants a lease and returns its id. */
  long grant(long durationMs) {
    long id = nextId++;
    endsAtMs.put(id, sim.now() + durationMs);
    durationsMs.put(id, durationMs);
    return id;
  }

  /** Reports whether a lease was granted and has not been removed. */
  boolean contains(long id) {
    return endsAtMs.containsKey(id);
  }

  /** Renews a lease for its full duration. */
  void renew(long id) {
    endsAtMs.put(id, sim.now() + durationsMs.get(id));
  }

  /** Renews all leases for their full durations. */
  void renewAll() {
    endsAtMs.replaceAll((id, end) -> sim.now() + durationsMs.get(id));
  }

  /** Removes a lease. */
  void remove(long id) {
    endsAtMs.remove(id);
  }

  /** Returns the ids of the leases that have expired. */
  List<Long> expired() {
    List<Long> expired = new ArrayList<>(endsAtMs.keySet());
    expired.removeIf(id -> endsAtMs.get(id) >= sim.now());
    return expired;
  }
}
