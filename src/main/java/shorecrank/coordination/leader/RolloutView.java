package shorecrank.coordination.leader;

import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.HeartbeatMessages.Heartbeat;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.RolloutMessages.RolloutNotice;
import shorecrank.rollout.FeatureGate;
import shorecrank.rollout.RolloutCoordinator;

/** What leading has to do with feature levels; nothing where rollouts are not enabled. */
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

  /** Whether the level in force is known, so that shards may be granted. */
  boolean isReady() {
    return rollout == null || rollout.isReady();
  }

  /** Tells this process's own gate the level, before any heartbeat is answered. */
  void updateGate() {
    if (rollout != null) {
      gate.observe(rollout.notice());
    }
  }

  /** Takes in what the sender of a heartbeat supports. */
  void recordHeartbeat(Heartbeat heartbeat) {
    if (rollout != null) {
      rollout.heard(heartbeat.sender(), heartbeat.writer(), heartbeat.announcement());
    }
  }

  /** Whether a controller may own shards at the level in force, with its settings; logs if not. */
  boolean mayOwn(ControllerName controller) {
    String reason = rollout == null ? null : rollout.reasonAgainstOwner(controller);
    if (reason == null) {
      return true;
    }
    context.reportRefusal(
        "shard.owner_refused",
        "shard.owner.refused controller=" + controller + " reason=\"" + reason + "\"");
    return false;
  }

  /** What controllers are told of the level; null if nothing. */
  RolloutNotice notice() {
    return rollout == null ? null : rollout.notice();
  }
}
