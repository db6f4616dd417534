package shorecrank.sim;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counters and gauges of a simulation run, of the controllers themselves and of the simulated
 * services and workers.
 */
final class RunCounters {
  private static final String SCANNED_ITEMS = "round.looks";

  private final Map<String, Long> counts = new TreeMap<>();
  private final Map<String, Double> gauges = new TreeMap<>();
  private long rounds;
  private int mostWatchChanges;
  private int leaseExpiriesWithTasks;
  private int startsRefusedForResources;

  /** Increases a counter of a controller. */
  void count(String metric, long by) {
    counts.merge(metric, by, Long::sum);
  }

  /** Sets a gauge of a controller. */
  void gauge(String metric, double value) {
    gauges.put(metric, value);
  }

  /** Returns the sum of a counter over all controllers. */
  long total(String metric) {
    return counts.getOrDefault(metric, 0L);
  }

  /** Returns all counters whose metric names begin with the prefix. */
  Map<String, Long> countsWithPrefix(String prefix) {
    Map<String, Long> matching = new TreeMap<>(counts);
    matching.keySet().removeIf(metric -> !metric.startsWith(prefix));
    return matching;
  }

  /** Returns the latest value that any controller has set, or 0 if none has. */
  double gaugeValue(String metric) {
    return gauges.getOrDefault(metric, 0.0);
  }

  /** Counts rounds of a controller, which completes one for each of its shards. */
  void addRounds(int count) {
    rounds += count;
  }

  /** Returns the average number of machines and jobs that a shard owner inspects in a round. */
  double itemsScannedPerRound() {
    return (double) total(SCANNED_ITEMS) / Math.max(1, rounds);
  }

  /** Records the number of changes in an answer to a watch request of a controller. */
  void recordWatchChanges(int changes) {
    mostWatchChanges = Math.max(mostWatchChanges, changes);
  }

  /** Returns the largest number of changes in one answer to a watch request. */
  int mostWatchChanges() {
    return mostWatchChanges;
  }

  /** Counts a worker whose lease expired while it had tasks, which it has killed. */
  void addLeaseExpiry() {
    leaseExpiriesWithTasks++;
  }

  /** Returns how often a worker has killed its tasks because its lease had expired. */
  int leaseExpiriesWithTasks() {
    return leaseExpiriesWithTasks;
  }

  /** Counts a start command that a worker refused for lack of resources. */
  void addStartRefusedForResources() {
    startsRefusedForResources++;
  }

  /** Returns how many start commands workers refused for lack of resources. */
  int startsRefusedForResources() {
    return startsRefusedForResources;
  }
}
