package shorecrank.leadership;

import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.storage.StateStore;

/**
 * The environment of a state machine that runs on the leader: time, the state service, rate limits,
 * the log and metrics.
 */
public interface LeaderEnvironment {
  /** Returns the time of this step on the monotonic clock. */
  MonotonicTime now();

  /** Returns the time of day of this step, in milliseconds since the Unix epoch. */
  long wallMs();

  /** Returns the client of the state service. */
  StateStore store();

  /**
   * Reports whether this controller's share of the write rate allows {@code changes} writes now.
   */
  boolean hasWriteBudget(int changes);

  /**
   * Takes that many changes from this controller's share of the write rate.
   *
   * @return false if the share does not allow them now; then nothing is taken
   */
  boolean tryTakeWrites(int changes);

  /**
   * Reports whether this controller's request rate allows a request that is not urgent to be sent
   * to the state service now.
   */
  boolean hasRequestBudget();

  /**
   * Returns how many changes per second the state service accepts from all controllers together.
   */
  double maxChangesPerSecond();

  /** Returns the maximum number of operations in a transaction. */
  int maxTransactionOperations();

  /** Returns the maximum size of a stored value, in bytes. */
  int maxValueBytes();

  /**
   * Logs an event.
   *
   * @param format the event's name and its fields, as for {@link String#format}
   */
  void info(String format, Object... args);

  /**
   * Counts an error and logs it at a limited rate.
   *
   * @param metric the counter; at most one line per counter is logged every few seconds
   * @param what the log line: the event's name and its fields
   */
  void reportError(String metric, String what);

  /** Sets a gauge. */
  void gauge(String metric, double value);

  /** Increments a counter by the given amount. */
  void count(String metric, long by);
}
