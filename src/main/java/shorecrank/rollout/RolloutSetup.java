package shorecrank.rollout;

import shorecrank.config.Settings;
import shorecrank.protocol.RolloutMessages.Announcement;
import shorecrank.protocol.RolloutMessages.LevelRange;

/**
 * The settings and the announcement of a controller on which rollouts are enabled.
 *
 * @param settings the operators' settings of rollouts
 * @param announcement what the controller announces to the leader in its heartbeats
 */
public record RolloutSetup(RolloutSettings settings, Announcement announcement) {
  /**
   * Returns the setup of this build, which announces the levels that this build supports.
   *
   * @param build the version of this program
   * @param sharedSettings the settings that must be the same on all controllers
   * @param sharesEnabled whether the controller has settings for shares
   */
  public static RolloutSetup of(
      RolloutSettings settings, String build, Settings sharedSettings, boolean sharesEnabled) {
    return of(settings, build, sharedSettings, Feature.supportedLevels(sharesEnabled));
  }

  /** Returns the setup of a build that announces the given levels. */
  public static RolloutSetup of(
      RolloutSettings settings, String build, Settings sharedSettings, LevelRange supported) {
    return new RolloutSetup(
        settings, new Announcement(build, supported, SettingsDigest.of(sharedSettings)));
  }
}
