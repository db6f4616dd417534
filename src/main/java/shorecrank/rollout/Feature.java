package shorecrank.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.stream.Stream;
import shorecrank.protocol.RolloutMessages.FeatureLevel;
import shorecrank.protocol.RolloutMessages.LevelRange;
import shorecrank.protocol.ShareMessages;
import shorecrank.protocol.ShareMessages.SharesState;
import shorecrank.storage.JobRecord;

/**
 * What a fleet may only use once all of its controllers understand it. Each feature names the level
 * from which it is in force, and how what it left in the state service is put back.
 */
public enum Feature {
  /**
   * The leader's grant hangs on a key of its own, while the key that earlier versions look at stays
   * and names the leader: none of them finds the leadership vacant.
   */
  PROTECTED_LEADERSHIP(1, "", null),

  /** Job records in the dense form ({@link JobRecord#writeDense}). */
  DENSE_RECORDS(1, JobRecord.LIVE, new DenseRecords()),

  /** Moves of machines between shards, which {@link ShareMessages#KEY} holds. */
  SHARES(2, ShareMessages.KEY, new SharesWithoutMoves());

  /** How one stored form is found and put back into the forms of the level below. */
  interface Downgrade {
    /** Whether the value is in the feature's form. */
    boolean applies(JsonNode value);

    /**
     * The value in earlier forms, the preferred one first; all say the same. Empty if the value
     * can't be read.
     */
    List<ObjectNode> earlierForms(JsonNode value);
  }

  private final FeatureLevel level;
  private final String prefix;
  private final Downgrade downgrade;

  Feature(int level, String prefix, Downgrade downgrade) {
    this.level = new FeatureLevel(level);
    this.prefix = prefix;
    this.downgrade = downgrade;
  }

  /** The lowest level at which the feature is in force. */
  public FeatureLevel level() {
    return level;
  }

  /**
   * The levels that a controller of this build supports.
   *
   * @param shares whether shares are enabled on it: a leader without them would not go on with the
   *     moves that an earlier one has written down
   */
  public static LevelRange supported(boolean shares) {
    FeatureLevel highest =
        Stream.of(values())
            .filter(f -> shares || f != SHARES)
            .map(Feature::level)
            .max(FeatureLevel::compareTo)
            .orElseThrow();
    return new LevelRange(FeatureLevel.LOWEST, highest);
  }

  /** Those of a level above {@code target} that leave forms in the state service. */
  static List<Feature> storedAbove(FeatureLevel target) {
    return Stream.of(values())
        .filter(f -> f.downgrade != null && f.level.compareTo(target) > 0)
        .toList();
  }

  /** The keys in which the feature's form may stand begin with this. */
  String prefix() {
    return prefix;
  }

  Downgrade downgrade() {
    return downgrade;
  }

  /**
   * Moves that are under way end with the level, and the number of shards may be changed by whoever
   * knows nothing of it; what operators have set stays.
   */
  private static final class SharesWithoutMoves implements Downgrade {
    @Override
    public boolean applies(JsonNode value) {
      SharesState state = ShareMessages.readState(value);
      return state != null && (!state.active().isEmpty() || state.shards() > 0);
    }

    @Override
    public List<ObjectNode> earlierForms(JsonNode value) {
      SharesState state = ShareMessages.readState(value);
      return state == null
          ? List.of()
          : List.of(ShareMessages.write(state.withActive(List.of()).withShards(0)));
    }
  }

  private static final class DenseRecords implements Downgrade {
    @Override
    public boolean applies(JsonNode value) {
      return JobRecord.isDense(value);
    }

    @Override
    public List<ObjectNode> earlierForms(JsonNode value) {
      JobRecord record = JobRecord.read(value);
      return record == null ? List.of() : List.of(record.write(), record.writeCompact());
    }
  }
}
