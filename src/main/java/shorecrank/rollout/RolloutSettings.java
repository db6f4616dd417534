package shorecrank.rollout;

import com.google.protobuf.Message;
import java.util.List;
import shorecrank.config.InvalidConfigException;
import shorecrank.config.TextProto;
import shorecrank.config.TextProto.Field;

/**
 * The operators' settings of rollouts, in protobuf text format.
 *
 * @param automatic whether the level rises by itself once all controllers support it
 * @param settleS for how long all must have announced their support without a break, in seconds
 * @param rewritesPerS the most records rewritten in a second during a downgrade
 * @param archiveBeforeRaise whether an archive of the keys is made before the level rises
 * @param archivesKept how many archives stay in the state service
 */
public record RolloutSettings(
    boolean automatic,
    double settleS,
    double rewritesPerS,
    boolean archiveBeforeRaise,
    int archivesKept) {
  private static final Field AUTOMATIC = Field.flag("automatic", false);
  private static final Field SETTLE_S = Field.number("settle_s", 0, 86_400, 30);
  private static final Field REWRITES_PER_S = Field.number("rewrites_per_s", 0.1, 1000, 10);
  private static final Field ARCHIVE_BEFORE_RAISE = Field.flag("archive_before_raise", true);
  private static final Field ARCHIVES_KEPT = Field.number("archives_kept", 1, 100, 2);

  /**
   * Reads the file's text; a setting that is not named has its default.
   *
   * @throws InvalidConfigException naming the field that is unknown or out of range
   */
  public static RolloutSettings read(String text) throws InvalidConfigException {
    Message message =
        TextProto.parse(
            "Rollout",
            List.of(AUTOMATIC, SETTLE_S, REWRITES_PER_S, ARCHIVE_BEFORE_RAISE, ARCHIVES_KEPT),
            text);
    return new RolloutSettings(
        AUTOMATIC.flagOf(message),
        SETTLE_S.numberOf(message),
        REWRITES_PER_S.numberOf(message),
        ARCHIVE_BEFORE_RAISE.flagOf(message),
        (int) ARCHIVES_KEPT.numberOf(message));
  }
}
