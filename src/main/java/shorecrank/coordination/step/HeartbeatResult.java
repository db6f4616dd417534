package shorecrank.coordination.step;

import shorecrank.protocol.HeartbeatMessages.HeartbeatAnswer;

/** What became of a heartbeat to the leader. */
public sealed interface HeartbeatResult {
  /** The leader has answered. */
  record Answered(HeartbeatAnswer answer) implements HeartbeatResult {}

  /** The leader's answer is malformed. */
  record Malformed() implements HeartbeatResult {}

  /**
   * The other controller does not lead, or may not grant leases now.
   *
   * @param reachesStore whether it reaches the state service
   */
  record Refused(boolean reachesStore) implements HeartbeatResult {}

  /** There was no answer in time, or none that a leader gives. */
  record Unanswered() implements HeartbeatResult {}
}
