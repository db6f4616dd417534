package shorecrank.sim;

import java.util.Map;
import java.util.TreeMap;

/** What is counted in a run, by the controllers themselves and by those around them. */
final class RunCounters {
  private static final String SCANNED_ITEMS = "round.looks";

  private final Map<String, Long> counts = new TreeMap<>();
  private final Map<String, Double> gauges = new TreeMap<>();
  private long rounds;
  private int mostWatchChanges;
  private int leaseExpiriesWithTasks;
  private int startsRefusedForResources;

  /** A controller counts something. */
  void count(String metric, long by) {
    counts.merge(metric, by, Long::sum);
  }

  /** A controller sets a gauge. */
  void gauge(String metric, double value) {
    gauges.put(metric, value);
  }

  /** What all controllers together have counted. */
  long total(String metric) {
    return counts.getOrDefault(metric, 0L);
  }

  /** All counts by metric, of metrics that begin so. */
  Map<String, Long> countsWithPrefix(String prefix) {
    Map<String, Long> matching = new TreeMap<>(counts);
    matching.keySet().removeIf(metric -> !metric.startsWith(prefix));
    return matching;
  }

  /** The latest value that any controller has set, or 0. */
  double gaugeValue(String metric) {
    return gauges.getOrDefault(metric, 0.0);
  }

  /** A controller has made a round for each of its shards. */
  void addRounds(int count) {
    rounds += count;
  }

  /** Machines and jobs that an owner's round looks at, on average. */
  double itemsScannedPerRound() {
    return (double) total(SCANNED_ITEMS) / Math.max(1, rounds);
  }

  /** A controller takes an answer with so many changes to a watch. */
  void recordWatchChanges(int changes) {
    mostWatchChanges = Math.max(mostWatchChanges, changes);
  }

  /** Changes in the fullest answer to a watch that a controller had to hold. */
  int mostWatchChanges() {
    return mostWatchChanges;
  }

  /** A worker with tasks has killed them because its lease had expired. */
  void addLeaseExpiry() {
    leaseExpiriesWithTasks++;
  }

  /** How often a worker has killed its tasks because its lease had expired. */
  int leaseExpiriesWithTasks() {
    return leaseExpiriesWithTasks;
  }

  /** A worker has refused a start because it lacks resources. */
  void addStartRefusedForResources() {
    startsRefusedForResources++;
  }

  /** How often a worker has refused a start because it lacks resources. */
  int startsRefusedForResources() {
    return startsRefusedForResources;
  }
}
