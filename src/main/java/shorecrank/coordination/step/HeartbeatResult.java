package shorecrank.coordination.step;

import shorecrank.protocol.HeartbeatMessages.HeartbeatAnswer;

/** The result of a heartbeat to the leader. */
public sealed interface HeartbeatResult {
  /** The leader accepted the heartbeat and answered it. */
  record Answered(HeartbeatAnswer answer) implements HeartbeatResult {}

  /** The leader's answer could not be read. */
  record Malformed() implements HeartbeatResult {}

  /**
   * The other controller refused the heartbeat: it does not lead, or may not grant leases now.
   *
   * @param reachesStore whether the other controller reaches the state service
   */
  record Refused(boolean reachesStore) implements HeartbeatResult {}

  /** There was no answer within the timeout, or one with a status that no leader replies with. */
  record Unanswered() implements HeartbeatResult {}
}
