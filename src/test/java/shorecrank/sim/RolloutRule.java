package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import shorecrank.protocol.RolloutCodec;
import shorecrank.protocol.RolloutMessages;
import shorecrank.protocol.RolloutMessages.FeatureLevel;
import shorecrank.protocol.RolloutMessages.RolloutState;
import shorecrank.rollout.Feature;
import shorecrank.sim.Rollouts.Version;
import shorecrank.storage.JobRecord;

/**
 * Checks the rollout of feature levels: no value is written in a form above the level in force, and
 * no controller that does not support that level owns a shard or leads. The level rises only when
 * all controllers support it, and falls only when no stored data needs it. Leadership is never
 * vacant at levels that protect it.
 */
final class RolloutRule extends Rule {
  /**
   * The longest age of an announcement that a rise of the level may rely on. A controller that has
   * run a version for less time may not have replaced its former announcement yet.
   */
  private static final long MAX_ANNOUNCEMENT_AGE_MS = 6000;

  private int rises;
  private int falls;

  RolloutRule(World world, Checker checker) {
    super(world, checker);
  }

  /** Returns how often the level rose. */
  int rises() {
    return rises;
  }

  /** Returns how often the level fell. */
  int falls() {
    return falls;
  }

  // ---- writes -----------------------------------------------------------------------------------

  @Override
  void beforeTransaction(JsonNode operations) {
    if (!world().rollouts.isEnabled()) {
      return;
    }
    RolloutState before = world().rollouts.state();
    RolloutState after = before;
    for (JsonNode operation : operations) {
      if (operation.path("write").asText().equals(RolloutMessages.KEY)) {
        after = RolloutCodec.readState(operation.path("data")).orElse(null);
      }
    }
    operations.forEach(operation -> checkOperation(operation, before));
    if (after.level().compareTo(before.level()) > 0) {
      rises++;
      checkRise(after.level());
    } else if (after.level().compareTo(before.level()) < 0) {
      falls++;
      checkFall(after.level());
    }
  }

  private void checkOperation(JsonNode operation, RolloutState before) {
    String key = operation.path("write").asText();
    boolean dense =
        key.startsWith(JobRecord.LIVE_PREFIX) && JobRecord.isDense(operation.path("data"));
    if (dense && !before.writeLevel().includes(Feature.DENSE_RECORDS.level())) {
      report("form_above_level: " + key);
    }
    if (operation.path("drop").asText().equals("leader")) {
      report("leadership_vacant: dropped by a transaction");
    }
  }

  private void checkRise(FeatureLevel level) {
    // A transaction that is applied late may rely only on what was known when it was sent.
    long sentAtMs = sim().now() - world().store.lateByMs();
    world()
        .rollouts
        .forEachRunning(
            (index, version) -> {
              long runningMs = sentAtMs - world().rollouts.runningSinceMs(index);
              if (!version.supports(level) && runningMs >= MAX_ANNOUNCEMENT_AGE_MS) {
                report("raised_without_support: n%d to %s".formatted(index, level));
              }
            });
  }

  private void checkFall(FeatureLevel level) {
    long dense = world().rollouts.denseRecordCount();
    if (dense > 0 && !level.includes(Feature.DENSE_RECORDS.level())) {
      report("fell_too_early: %d dense records left".formatted(dense));
    }
    boolean moving = !world().shares.state().active().isEmpty();
    if (moving && !level.includes(Feature.SHARES.level())) {
      report("fell_too_early: moves are under way");
    }
  }

  // ---- owners and leader ------------------------------------------------------------------------

  @Override
  void roundCompleted(ControllerNode node) {
    if (!world().rollouts.isEnabled()) {
      return;
    }
    RolloutState state = world().rollouts.state();
    Version version = world().rollouts.runningVersion(node);
    if (!node.commandedEpochs().isEmpty() && !version.supports(state.level())) {
      report("owner_below_level: %s at %s".formatted(node.label(), state.level()));
    }
    if (state.level().includes(Feature.PROTECTED_LEADERSHIP.level())) {
      checkLeadership(node, version, state.level());
    }
  }

  private void checkLeadership(ControllerNode node, Version version, FeatureLevel level) {
    if (world().store.peek("leader").isMissingNode()) {
      report("leadership_vacant: no leader key at level " + level);
    }
    String leading = world().store.peek("leadership").path("label").asText("");
    // The process of the former leader may have restarted in an earlier version under the same
    // label.
    long runningMs = sim().now() - world().rollouts.runningSinceMs(node.index());
    if (node.label().equals(leading)
        && node.isUp()
        && !version.supports(level)
        && runningMs >= MAX_ANNOUNCEMENT_AGE_MS) {
      report("leader_below_level: %s at %s".formatted(node.label(), level));
    }
  }
}
