package shorecrank.rollout;

import shorecrank.config.Settings;
import shorecrank.protocol.RolloutMessages.Announcement;
import shorecrank.protocol.RolloutMessages.LevelRange;

/** Rollouts, as enabled on one controller. */
public record RolloutSetup(RolloutSettings settings, Announcement announcement) {

  /**
   * Of this build, with the levels that it supports.
   *
   * @param shares whether shares are enabled too
   */
  public static RolloutSetup of(
      RolloutSettings settings, String build, Settings tuning, boolean shares) {
    return of(settings, build, tuning, Feature.supported(shares));
  }

  /** Of a build that supports certain levels. */
  public static RolloutSetup of(
      RolloutSettings settings, String build, Settings tuning, LevelRange supported) {
    return new RolloutSetup(
        settings, new Announcement(build, supported, SettingsDigest.of(tuning)));
  }
}
