package shorecrank.rollout;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import shorecrank.protocol.RolloutMessages.Announcement;
import shorecrank.protocol.RolloutMessages.FeatureLevel;
import shorecrank.protocol.RolloutMessages.OrderOutcome;
import shorecrank.protocol.RolloutMessages.RolloutOrder;
import shorecrank.protocol.RolloutMessages.RolloutPhase;
import shorecrank.protocol.RolloutMessages.RolloutState;

/**
 * Decides on operators' orders: whether an order can be executed, which state it leads to, and what
 * the operator is told. It writes nothing.
 */
final class RolloutOrders {
  private final Announcement ownAnnouncement;
  private final Function<FeatureLevel, List<String>> raiseBlockers;
  private final Archiver archiver;

  /**
   * Creates an instance for the leader's process.
   *
   * @param ownAnnouncement the levels and the build of this controller
   * @param raiseBlockers returns the reasons why the level may not be raised, regardless of for how
   *     long the members have supported it; empty if it may be raised
   */
  RolloutOrders(
      Announcement ownAnnouncement,
      Function<FeatureLevel, List<String>> raiseBlockers,
      Archiver archiver) {
    this.ownAnnouncement = ownAnnouncement;
    this.raiseBlockers = raiseBlockers;
    this.archiver = archiver;
  }

  /**
   * The decision on an order.
   *
   * @param next the state to write to the feature level's key, without the order's outcome; empty
   *     if the key is not written
   * @param isAccepted false if the order is refused; true if it is executed or has nothing left to
   *     do
   * @param text the answer to the operator
   * @param archiveId the archive that the order starts or that is being written already; empty if
   *     the order concerns none
   */
  record Decision(Optional<RolloutState> next, boolean isAccepted, String text, String archiveId) {
    private static Decision refuse(String reason) {
      return new Decision(Optional.empty(), false, reason, "");
    }

    private static Decision alreadyDone(String text) {
      return new Decision(Optional.empty(), true, text, "");
    }

    private static Decision change(RolloutState next, String text) {
      return new Decision(Optional.of(next), true, text, "");
    }

    /** Returns the outcome of the order that this decision is about. */
    OrderOutcome outcomeOf(RolloutOrder order) {
      return new OrderOutcome(order.id(), order.kind(), isAccepted, text, archiveId);
    }
  }

  /** Decides on an order that has not been executed before. */
  Decision decide(RolloutOrder order, RolloutState state) {
    return switch (order.kind()) {
      case FINALIZE -> finalizeLevel(state, order.target());
      case DOWNGRADE -> downgrade(state, order.target());
      case ABORT -> abort(state);
      case ARCHIVE -> startArchive(state);
    };
  }

  private Decision finalizeLevel(RolloutState state, int requested) {
    FeatureLevel target =
        requested < 0 ? ownAnnouncement.supported().highest() : new FeatureLevel(requested);
    if (!ownAnnouncement.supported().supports(target)) {
      return Decision.refuse(
          "level %s is out of range: the leader's build %s supports %s"
              .formatted(target, ownAnnouncement.build(), ownAnnouncement.supported()));
    }
    if (state.phase() == RolloutPhase.FALLING) {
      return Decision.refuse(
          "the level is falling from %s to %s: abort that first"
              .formatted(state.level(), state.target()));
    }
    if (state.phase() == RolloutPhase.RAISING) {
      return state.target().equals(target)
          ? Decision.alreadyDone("level %s is being raised to already".formatted(target))
          : Decision.refuse(
              "the level is rising to %s: abort that first".formatted(state.target()));
    }
    if (target.equals(state.level())) {
      return Decision.alreadyDone("level %s is in force already".formatted(target));
    }
    if (target.compareTo(state.level()) < 0) {
      return Decision.refuse(
          "level %s is below %s, which is in force: use downgrade"
              .formatted(target, state.level()));
    }
    // Missing support is reported at once. Support that has not lasted for settle_s does not refuse
    // the order: the RAISING phase waits for it.
    List<String> blockers = raiseBlockers.apply(target);
    if (!blockers.isEmpty()) {
      return Decision.refuse(blockers.get(0));
    }
    return Decision.change(
        state
            .withTarget(RolloutPhase.RAISING, target)
            .withArchive("")
            .withAutoRaiseSuspended(false),
        "level rises from %s to %s".formatted(state.level(), target));
  }

  private static Decision downgrade(RolloutState state, int requested) {
    FeatureLevel target = requested < 0 ? FeatureLevel.LOWEST : new FeatureLevel(requested);
    if (state.phase() == RolloutPhase.FALLING && state.target().equals(target)) {
      return Decision.alreadyDone("level %s is being lowered to already".formatted(target));
    }
    if (state.phase() != RolloutPhase.STABLE) {
      return Decision.refuse(
          "the level is on its way from %s to %s: abort that first"
              .formatted(state.level(), state.target()));
    }
    if (target.equals(state.level())) {
      return Decision.alreadyDone("level %s is in force already".formatted(target));
    }
    if (target.compareTo(state.level()) > 0) {
      return Decision.refuse(
          "level %s is above %s, which is in force: use finalize".formatted(target, state.level()));
    }
    return Decision.change(
        state.withTarget(RolloutPhase.FALLING, target).withAutoRaiseSuspended(true),
        "level falls from %s to %s".formatted(state.level(), target));
  }

  private static Decision abort(RolloutState state) {
    if (state.phase() == RolloutPhase.STABLE) {
      return Decision.refuse(
          "level %s is in force, and nothing is under way".formatted(state.level()));
    }
    return Decision.change(
        state.stableAt(state.level()).withAutoRaiseSuspended(state.phase() == RolloutPhase.RAISING),
        "level stays at %s, no longer on its way to %s".formatted(state.level(), state.target()));
  }

  private Decision startArchive(RolloutState state) {
    Optional<String> current = archiver.currentId();
    if (current.isPresent()) {
      String id = current.get();
      return new Decision(
          Optional.empty(), true, "archive %s is being made already".formatted(id), id);
    }
    String id = archiver.newId();
    return new Decision(Optional.of(state), true, "archive %s is being made".formatted(id), id);
  }
}
