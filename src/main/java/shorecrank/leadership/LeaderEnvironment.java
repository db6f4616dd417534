package shorecrank.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.storage.StateStore;

/** Time, the state service and the log, as a state machine of the leader sees them. */
public interface LeaderEnvironment {
  /** Takes an answer; status 0 means there was none, and the call may still be carried out. */
  @FunctionalInterface
  interface OnAnswer {
    void answer(int status, JsonNode body);
  }

  /** This step's steady time. */
  MonotonicTime now();

  /** This step's time of day. */
  long wallMs();

  /** The state service. */
  StateStore store();

  /** Calls the state service by method and path; callers go over to {@link #store()}. */
  void state(String method, String path, JsonNode body, OnAnswer then);

  /** Whether that many changes are left of this controller's share. */
  boolean hasWrites(int changes);

  /** Takes that many changes out of this controller's share, unless they are not there. */
  boolean takeWrites(int changes);

  /** Whether the state service takes another request of this kind now, which can wait. */
  boolean takeRequest();

  /** The changes that the state service takes in a second, from all controllers together. */
  double changesPerSecond();

  /** The operations a transaction may have. */
  int transactionOperations();

  /** The bytes a value may have. */
  int valueBytes();

  /** Writes a line to the log. */
  void info(String format, Object... args);

  /** Counts, and logs at a bounded rate, something that was refused. */
  void refused(String metric, String what);

  /** Sets a gauge. */
  void gauge(String metric, double value);

  /** Counts. */
  void count(String metric, long by);
}
