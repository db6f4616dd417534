package shorecrank.leadership;

import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.storage.StateStore;

/**
 * Time, state service, rate limits, log and metrics, as a state machine of the leader sees them.
 */
public interface LeaderEnvironment {
  /** This step's time on the steady clock. */
  MonotonicTime now();

  /** This step's time of day, in milliseconds since 1970. */
  long wallMs();

  /** The state service. */
  StateStore store();

  /** Whether that many changes are left of this controller's share of the write rate. */
  boolean hasWriteBudget(int changes);

  /** Takes that many changes out of this controller's share; false if they are not there. */
  boolean tryTakeWrites(int changes);

  /** Whether a request that can wait may be sent to the state service now. */
  boolean hasRequestBudget();

  /** How many changes per second the state service takes from all controllers together. */
  double maxChangesPerSecond();

  /** The most operations in a transaction. */
  int maxTransactionOperations();

  /** The most bytes in a value. */
  int maxValueBytes();

  /**
   * Logs an event.
   *
   * @param format the event's name and its fields, as for {@link String#format}
   */
  void info(String format, Object... args);

  /**
   * Counts something that was refused, and logs it at a bounded rate.
   *
   * @param metric the counter; of each only one line is logged in a few seconds
   * @param what the event's name and its fields
   */
  void reportRefusal(String metric, String what);

  /** Sets a gauge. */
  void gauge(String metric, double value);

  /** Adds to a counter. */
  void count(String metric, long by);
}
