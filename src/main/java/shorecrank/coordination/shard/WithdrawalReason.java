package shorecrank.coordination.shard;

import java.util.Locale;

/** Why an attempt that its worker does not list is given up. */
enum WithdrawalReason {
  /** Its job is cancelled. */
  CANCELLED,

  /** It is to be stopped for other work, or because its machine is vacated. */
  REVOKED,

  /** Its machine goes away soon. */
  MACHINE_LEAVING,

  /** Its machine does not get the answers to its heartbeats. */
  MACHINE_UNRESPONSIVE,

  /** Records name more of its team than the team may use. */
  TEAM_ABOVE_LIMIT,

  /** Its worker has listed it before and does so no more. */
  VANISHED;

  /** As the log has it. */
  String logName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
