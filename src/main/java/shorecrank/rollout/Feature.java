package shorecrank.rollout;

import java.util.List;
import java.util.stream.Stream;
import shorecrank.protocol.RolloutMessages.FeatureLevel;
import shorecrank.protocol.RolloutMessages.LevelRange;
import shorecrank.protocol.ShareStateMessages;
import shorecrank.storage.JobRecord;

/**
 * A behaviour or stored form that may only be used once all controllers of the fleet support it.
 * Each feature has the feature level from which on it may be used, and a codec that converts the
 * values it left in the state service to earlier forms.
 */
public enum Feature {
  /**
   * The leader's grant is attached to a key that earlier versions do not use. The key that earlier
   * versions read for the leadership still exists and names the leader, so that none of them
   * considers the leadership vacant.
   */
  PROTECTED_LEADERSHIP(1, "", null),

  /** Job records are written in the dense form, see {@link JobRecord#writeDense}. */
  DENSE_RECORDS(1, JobRecord.LIVE_PREFIX, new DowngradeCodec.JobRecordDowngradeCodec()),

  /** Machines are moved between shards; {@link ShareStateMessages#KEY} holds the moves. */
  SHARES(2, ShareStateMessages.KEY, new DowngradeCodec.SharesDowngradeCodec());

  private final FeatureLevel level;
  private final String keyPrefix;
  private final DowngradeCodec downgradeCodec;

  Feature(int level, String keyPrefix, DowngradeCodec downgradeCodec) {
    this.level = new FeatureLevel(level);
    this.keyPrefix = keyPrefix;
    this.downgradeCodec = downgradeCodec;
  }

  /** Returns the lowest feature level at which the feature may be used. */
  public FeatureLevel level() {
    return level;
  }

  /**
   * Returns the levels that a controller of this build supports.
   *
   * @param sharesEnabled whether the controller has settings for shares. Without them it does not
   *     support {@link #SHARES}: as a leader it would not continue the moves that an earlier leader
   *     has stored.
   */
  public static LevelRange supportedLevels(boolean sharesEnabled) {
    FeatureLevel highest =
        Stream.of(values())
            .filter(feature -> sharesEnabled || feature != SHARES)
            .map(Feature::level)
            .max(FeatureLevel::compareTo)
            .orElseThrow();
    return new LevelRange(FeatureLevel.LOWEST, highest);
  }

  /**
   * Returns the features of levels above {@code target} that leave values in newer forms in the
   * state service.
   */
  static List<Feature> withStoredFormsAbove(FeatureLevel target) {
    return Stream.of(values())
        .filter(feature -> feature.downgradeCodec != null && feature.level.compareTo(target) > 0)
        .toList();
  }

  /** Returns the prefix of the keys whose values may be in the form that the feature introduced. */
  String keyPrefix() {
    return keyPrefix;
  }

  /**
   * Returns the codec that converts values to earlier forms; null if the feature leaves none in the
   * state service.
   */
  DowngradeCodec downgradeCodec() {
    return downgradeCodec;
  }
}
