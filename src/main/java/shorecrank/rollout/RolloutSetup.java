package shorecrank.rollout;

import shorecrank.config.Settings;
import shorecrank.protocol.RolloutMessages.Announcement;
import shorecrank.protocol.RolloutMessages.LevelRange;

/**
 * Rollouts as enabled on one controller.
 *
 * @param announcement what the controller announces to the leader
 */
public record RolloutSetup(RolloutSettings settings, Announcement announcement) {

  /**
   * The setup of this build, with the levels that it supports.
   *
   * @param tuning the settings that all controllers share
   * @param sharesEnabled whether sharesEnabled are enabled too
   */
  public static RolloutSetup of(
      RolloutSettings settings, String build, Settings sharedSettings, boolean sharesEnabled) {
    return of(settings, build, sharedSettings, Feature.supportedLevels(sharesEnabled));
  }

  /** The setup of a build that supports other levels. */
  public static RolloutSetup of(
      RolloutSettings settings, String build, Settings sharedSettings, LevelRange supported) {
    return new RolloutSetup(
        settings, new Announcement(build, supported, SettingsDigest.of(sharedSettings)));
  }
}
