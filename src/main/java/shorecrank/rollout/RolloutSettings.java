package shorecrank.rollout;

import com.google.protobuf.Message;
import java.util.List;
import shorecrank.config.InvalidConfigException;
import shorecrank.config.TextProto;
import shorecrank.config.TextProto.Field;

/**
 * The operators' settings of rollouts, read from protobuf text format.
 *
 * @param automatic whether the leader raises the feature level by itself once all controllers
 *     support a higher one
 * @param settleS for how many seconds all controllers must have announced their support without
 *     interruption before the level is raised
 * @param rewritesPerS maximum number of values rewritten per second while the level is being
 *     lowered
 * @param archiveBeforeRaise whether an archive of the keys is written before the level is raised
 * @param archivesKept number of complete archives kept in the state service
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
   * Reads the settings from a file's text; a missing setting has its default.
   *
   * @throws InvalidConfigException if a field is unknown, malformed or out of range; the message
   *     names it
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
