package shorecrank.coordination.shard;

import java.util.Locale;

/** Why an attempt that its worker does not list is withdrawn. */
enum WithdrawalReason {
  /** The job is cancelled. */
  CANCELLED,

  /**
   * The attempt is to be stopped to make room for others, or because its machine is being emptied.
   */
  REVOKED,

  /** The machine is being released, or the cloud has announced that it takes the machine back. */
  MACHINE_LEAVING,

  /** The machine does not receive the answers to its heartbeats. */
  MACHINE_UNRESPONSIVE,

  /** The attempts that records name exceed the team's limit. */
  TEAM_ABOVE_LIMIT,

  /** The worker listed the attempt before and no longer does. */
  VANISHED;

  /** Returns the name in log lines. */
  String logName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
