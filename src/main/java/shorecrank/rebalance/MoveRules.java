package shorecrank.rebalance;

import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.ShardDemandMessages.DrainProgress;
import shorecrank.protocol.ShardDemandMessages.DrainState;
import shorecrank.protocol.ShareStateMessages.Move;
import shorecrank.protocol.ShareStateMessages.MovePhase;

/**
 * Decides the next step of a move from what the leader knows. The decision is stateless, so that a
 * new leader takes a safe step whatever the previous leader did last.
 */
final class MoveRules {
  /**
   * The age at which a move is aborted if the new owner receives no heartbeat from the handed-over
   * machine, as a multiple of the move timeout.
   */
  private static final double ARRIVAL_TIMEOUT_FACTOR = 2;

  private MoveRules() {}

  /** The reason why a move was aborted. */
  enum Reason {
    MACHINE_GONE("the machine is gone"),
    REASSIGNED("the machine's assignment has changed"),
    TERMINATION_NOTICE("the cloud takes the machine back"),
    MACHINE_SILENT("the machine's worker is not heard"),
    DRAIN_TIMEOUT("tasks did not end in time"),
    NOT_HEARD_BY_NEW_OWNER("its new owner does not hear it"),
    ABORTED_BY_OPERATOR("aborted by an operator"),
    EARLIER_VERSION("its owner runs a version that knows no moves");

    private final String text;

    Reason(String text) {
      this.text = text;
    }

    /** Returns the text that is stored with the move and shown to operators. */
    String text() {
      return text;
    }
  }

  /**
   * What the leader knows of a move's machine.
   *
   * @param assignedTo the machine's shard; null if the machine is not known
   * @param epoch the epoch under which the machine was assigned
   * @param progress the drain progress that the present owner has reported; null if it has reported
   *     none for this move
   * @param ownerSupportsMoves false if the present owner's last report came from a version that
   *     does not support moves
   * @param isReleased whether the present owner has reported for this move that no task or record
   *     is left on the machine
   * @param isArrived whether the new owner has reported that it receives the machine's heartbeats
   * @param ageS the seconds since the move began
   */
  record Observation(
      ShardId assignedTo,
      Epoch epoch,
      DrainProgress progress,
      boolean ownerSupportsMoves,
      boolean isReleased,
      boolean isArrived,
      double ageS) {}

  /** The change of a move that is to be written. */
  enum Action {
    /** The move stays in its phase; nothing is written. */
    STAY,
    /** The move enters the phase {@link MovePhase#DRAINING}. */
    RECORD_DRAINING,
    /** The machine is assigned to the new shard in the same transaction. */
    HAND_OVER,
    /** The move is done: the new owner receives the machine's heartbeats. */
    FINISH,
    /** The move ends, and the machine's assignment stays as it is. */
    ABORT
  }

  /**
   * The next step of a move.
   *
   * @param reason the reason of an {@link Action#ABORT}; null for other actions
   */
  record Step(Action action, Reason reason) {
    private static final Step STAY = new Step(Action.STAY, null);

    private static Step of(Action action) {
      return new Step(action, null);
    }

    private static Step abort(Reason reason) {
      return new Step(Action.ABORT, reason);
    }
  }

  /**
   * Returns the next step of a move that is under way.
   *
   * @param timeoutS the age, in seconds, at which a move is aborted if its machine has not been
   *     handed over
   */
  static Step next(Move move, Observation observation, double timeoutS) {
    if (observation.assignedTo == null) {
      return Step.abort(Reason.MACHINE_GONE);
    }
    return move.phase() == MovePhase.HANDED_OVER
        ? afterHandover(move, observation, timeoutS)
        : beforeHandover(move, observation, timeoutS);
  }

  private static Step beforeHandover(Move move, Observation observation, double timeoutS) {
    if (!observation.assignedTo.equals(move.from())
        || !observation.epoch.equals(move.assignmentEpoch())) {
      return Step.abort(Reason.REASSIGNED);
    }
    if (!observation.ownerSupportsMoves) {
      return Step.abort(Reason.EARLIER_VERSION);
    }
    if (observation.isReleased) {
      return Step.of(Action.HAND_OVER);
    }
    if (observation.progress != null && observation.progress.state() == DrainState.NOTICED) {
      return Step.abort(Reason.TERMINATION_NOTICE);
    }
    if (observation.progress != null && observation.progress.state() == DrainState.SILENT) {
      return Step.abort(Reason.MACHINE_SILENT);
    }
    if (observation.ageS > timeoutS) {
      return Step.abort(Reason.DRAIN_TIMEOUT);
    }
    boolean hasDrainStarted = move.phase() == MovePhase.REQUESTED && observation.progress != null;
    return hasDrainStarted ? Step.of(Action.RECORD_DRAINING) : Step.STAY;
  }

  private static Step afterHandover(Move move, Observation observation, double timeoutS) {
    if (!observation.assignedTo.equals(move.to())) {
      return Step.abort(Reason.REASSIGNED);
    }
    if (observation.isArrived) {
      return Step.of(Action.FINISH);
    }
    return observation.ageS > ARRIVAL_TIMEOUT_FACTOR * timeoutS
        ? Step.abort(Reason.NOT_HEARD_BY_NEW_OWNER)
        : Step.STAY;
  }
}
