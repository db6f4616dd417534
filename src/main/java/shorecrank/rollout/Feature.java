package shorecrank.rollout;

import java.util.List;
import java.util.stream.Stream;
import shorecrank.protocol.RolloutMessages.FeatureLevel;
import shorecrank.protocol.RolloutMessages.LevelRange;
import shorecrank.protocol.ShareStateMessages;
import shorecrank.storage.JobRecord;

/**
 * A behaviour or stored form that a fleet may only use once all of its controllers understand it.
 * Each feature names the level from which it is in force, and how the forms that it left in the
 * state service are put back into earlier ones.
 */
public enum Feature {
  /**
   * The leader's grant is on a key of its own, while the key that earlier versions look at stays
   * and names the leader, so that none of them finds the leadership vacant.
   */
  PROTECTED_LEADERSHIP(1, "", null),

  /** Job records in the dense form ({@link JobRecord#writeDense}). */
  DENSE_RECORDS(1, JobRecord.LIVE_PREFIX, new DowngradeCodec.JobRecordDowngradeCodec()),

  /** Moves of machines between shards, which {@link ShareStateMessages#KEY} holds. */
  SHARES(2, ShareStateMessages.KEY, new DowngradeCodec.SharesDowngradeCodec());

  private final FeatureLevel level;
  private final String keyPrefix;
  private final DowngradeCodec downgradeCodec;

  Feature(int level, String keyPrefix, DowngradeCodec downgradeCodec) {
    this.level = new FeatureLevel(level);
    this.keyPrefix = keyPrefix;
    this.downgradeCodec = downgradeCodec;
  }

  /** The lowest level at which the feature is in force. */
  public FeatureLevel level() {
    return level;
  }

  /**
   * The levels that a controller of this build supports.
   *
   * @param sharesEnabled whether sharesEnabled are enabled on it: a leader without them would not
   *     go on with the moves that an earlier one has written down
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

  /** The features above a level that leave forms of their own in the state service. */
  static List<Feature> withStoredFormsAbove(FeatureLevel target) {
    return Stream.of(values())
        .filter(feature -> feature.downgradeCodec != null && feature.level.compareTo(target) > 0)
        .toList();
  }

  /** The keyPrefix of the keys whose values may be in the feature's form. */
  String keyPrefix() {
    return keyPrefix;
  }

  /** Rewrites the feature's form; null if the feature leaves none in the state service. */
  DowngradeCodec downgradeCodec() {
    return downgradeCodec;
  }
}
