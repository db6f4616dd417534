package shorecrank.coordination.leader;

import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.HeartbeatMessages.Heartbeat;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.RolloutMessages.RolloutNotice;
import shorecrank.rollout.FeatureGate;
import shorecrank.rollout.RolloutCoordinator;

/**
 * The leader's view of feature levels and rollouts; allows everything if rollouts are not enabled.
 */
final class RolloutView {
  private final StepContext context;
  private final RolloutCoordinator rollout;
  private final FeatureGate gate;

  /**
   * Creates a view.
   *
   * @param rollout null if rollouts are not enabled
   */
  RolloutView(StepContext context, RolloutCoordinator rollout, FeatureGate gate) {
    this.context = context;
    this.rollout = rollout;
    this.gate = gate;
  }

  /** Reports whether the feature level in force is known, so that shards may be granted. */
  boolean isReady() {
    return rollout == null || rollout.isReady();
  }

  /**
   * Passes the feature level to this process's {@link FeatureGate}; called before any heartbeat is
   * answered.
   */
  void updateGate() {
    if (rollout != null) {
      gate.observe(rollout.notice());
    }
  }

  /** Records the feature levels that the sender of a heartbeat supports. */
  void recordHeartbeat(Heartbeat heartbeat) {
    if (rollout != null) {
      rollout.recordHeartbeat(heartbeat.sender(), heartbeat.writer(), heartbeat.announcement());
    }
  }

  /**
   * Reports whether a controller may own shards at the level in force and with its settings; logs a
   * refusal.
   */
  boolean mayOwn(ControllerName controller) {
    String reason = rollout == null ? null : rollout.ineligibilityReason(controller);
    if (reason == null) {
      return true;
    }
    context.reportError(
        "shard.owner_refused",
        "shard.owner.refused controller=" + controller + " reason=\"" + reason + "\"");
    return false;
  }

  /** Returns the feature level to be sent to the controllers; null if there is none to send. */
  RolloutNotice notice() {
    return rollout == null ? null : rollout.notice();
  }
}
