package shorecrank.rebalance;

import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.ShardDemandMessages.DrainProgress;
import shorecrank.protocol.ShardDemandMessages.DrainState;
import shorecrank.protocol.ShareStateMessages.Move;
import shorecrank.protocol.ShareStateMessages.MovePhase;

/**
 * Decides the next step of a move from what the leader knows. It has no state: any leader, at any
 * time, comes to a step that is safe, whatever an earlier one did last.
 */
final class MoveRules {
  /** A new owner may take so many times the bound on a move until it hears the machine. */
  private static final double ARRIVAL_TIMEOUT_FACTOR = 2;

  private MoveRules() {}

  /** Why a move ended without its machine being heard at its new shard. */
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

    /** For operators. */
    String text() {
      return text;
    }
  }

  /**
   * What is known of a move's machine.
   *
   * @param assignedTo the machine's shard; null if the machine is not known
   * @param term the term of its assignment
   * @param progress what its owner says of the order; null if it has said nothing
   * @param ownerSupportsMoves false if the owner's last report is of an earlier version
   * @param isReleased whether the owner has said, under this move, that nothing is left on it
   * @param isArrived whether the new owner has said that it hears the machine
   * @param ageS the seconds since the move began
   */
  record Observation(
      ShardId assignedTo,
      Epoch term,
      DrainProgress progress,
      boolean ownerSupportsMoves,
      boolean isReleased,
      boolean isArrived,
      double ageS) {}

  /** What is to be written down. */
  enum Action {
    /** Nothing. */
    STAY,
    /** The owner drains the machine. */
    RECORD_DRAINING,
    /** The machine's assignment changes, in the same transaction. */
    HAND_OVER,
    /** The machine has arrived. */
    FINISH,
    /** The move ends; the assignment stays what it is. */
    ABORT
  }

  /** An action, and the reason of an abortion; else null. */
  record Step(Action action, Reason reason) {
    private static final Step STAY = new Step(Action.STAY, null);

    private static Step of(Action action) {
      return new Step(action, null);
    }

    private static Step abort(Reason reason) {
      return new Step(Action.ABORT, reason);
    }
  }

  /** The next step of a move that is under way. */
  static Step next(Move move, Observation observation, double timeoutS) {
    if (observation.assignedTo == null) {
      return Step.abort(Reason.MACHINE_GONE);
    }
    return move.phase() == MovePhase.HANDED_OVER
        ? afterHandover(move, observation, timeoutS)
        : beforeHandover(move, observation, timeoutS);
  }

  private static Step beforeHandover(Move move, Observation observation, double timeoutS) {
    if (!observation.assignedTo.equals(move.from()) || !observation.term.equals(move.term())) {
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
