package shorecrank.protocol;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import shorecrank.protocol.Ids.Revision;

/**
 * Feature levels: controllers' announcements, the stored state, operators' orders and the status.
 */
public final class RolloutMessages {
  /** The key of the state service that holds the {@link RolloutState}. */
  public static final String KEY = "rollout";

  private RolloutMessages() {}

  /**
   * A feature level. Each level adds stored forms and behaviours; a fleet uses those of the level
   * that is in force and of the levels below it.
   */
  public record FeatureLevel(int value) implements Comparable<FeatureLevel> {
    /** The level of all versions from before feature levels existed. */
    public static final FeatureLevel LOWEST = new FeatureLevel(0);

    /** Reports whether this level is at least as high as another. */
    public boolean includes(FeatureLevel other) {
      return value >= other.value;
    }

    @Override
    public int compareTo(FeatureLevel other) {
      return Integer.compare(value, other.value);
    }

    @Override
    public String toString() {
      return Integer.toString(value);
    }
  }

  /** The feature levels that a version supports. */
  public record LevelRange(FeatureLevel lowest, FeatureLevel highest) {
    /** The range that is assumed for controllers that announce no levels. */
    public static final LevelRange UNANNOUNCED =
        new LevelRange(FeatureLevel.LOWEST, FeatureLevel.LOWEST);

    /** Reports whether a version with this range can work at a level. */
    public boolean supports(FeatureLevel level) {
      return level.includes(lowest) && highest.includes(level);
    }

    @Override
    public String toString() {
      return lowest + "-" + highest;
    }
  }

  /**
   * What a controller's heartbeat says about its version.
   *
   * @param build the name of the build
   * @param supported the feature levels that the build supports
   * @param settingsDigest a digest of the settings that all controllers have to share
   */
  public record Announcement(String build, LevelRange supported, String settingsDigest) {}

  /** Whether the level in force stays, rises or falls. */
  public enum RolloutPhase {
    /** The level in force stays. */
    STABLE,
    /** The level in force rises to the target. */
    RAISING,
    /** The level falls: stored values are rewritten into the forms of the target, a lower level. */
    FALLING
  }

  /** The kinds of operators' orders on the feature level. */
  public enum OrderKind {
    /** Raises the level. */
    FINALIZE,
    /** Lowers the level. */
    DOWNGRADE,
    /** Stops a rise or fall of the level that is under way. */
    ABORT,
    /** Archives the keys of the state service. */
    ARCHIVE;

    /** Returns the order's name on the wire and on the command line. */
    public String wireName() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /**
   * An operator's order.
   *
   * @param id the idempotency key: an order is carried out once, however often and to whichever
   *     controllers it is sent
   * @param target the level to reach; negative if the order names none
   */
  public record RolloutOrder(String id, OrderKind kind, int target) {}

  /**
   * The outcome of an operator's order.
   *
   * @param text the outcome for operators, one line
   * @param archive the id of the archive that the order is about; empty if none
   */
  public record OrderOutcome(
      String id, OrderKind kind, boolean accepted, String text, String archive) {}

  /**
   * The value of {@link #KEY}.
   *
   * @param level the level in force: every owner must support it, since values in its forms may be
   *     stored
   * @param target the level that a rise or fall leads to; {@code level} itself when stable
   * @param cursor while the level falls, the last key that has been checked and rewritten if
   *     necessary; empty before the first
   * @param archive the id of the newest complete archive of the keys; empty if there is none
   * @param autoRaiseSuspended whether an operator has lowered the level or stopped a rise, so that
   *     the level rises again only on an operator's order
   * @param recentOrders the outcomes of the latest orders, the oldest first
   */
  public record RolloutState(
      RolloutPhase phase,
      FeatureLevel level,
      FeatureLevel target,
      String cursor,
      String archive,
      boolean autoRaiseSuspended,
      List<OrderOutcome> recentOrders) {

    /** The state before the state service first holds {@link #KEY}. */
    public static final RolloutState INITIAL =
        new RolloutState(
            RolloutPhase.STABLE,
            FeatureLevel.LOWEST,
            FeatureLevel.LOWEST,
            "",
            "",
            false,
            List.of());

    /** Returns the highest level whose forms may be written. */
    public FeatureLevel writeLevel() {
      return phase == RolloutPhase.FALLING ? target : level;
    }

    /** Returns this state in another phase, with another target and the cursor at the beginning. */
    public RolloutState withTarget(RolloutPhase newPhase, FeatureLevel newTarget) {
      return new RolloutState(
          newPhase, level, newTarget, "", archive, autoRaiseSuspended, recentOrders);
    }

    /** Returns this state, stable at a level. */
    public RolloutState stableAt(FeatureLevel newLevel) {
      return new RolloutState(
          RolloutPhase.STABLE, newLevel, newLevel, "", archive, autoRaiseSuspended, recentOrders);
    }

    /** Returns this state with another cursor. */
    public RolloutState withCursor(String key) {
      return new RolloutState(phase, level, target, key, archive, autoRaiseSuspended, recentOrders);
    }

    /** Returns this state with another newest archive. */
    public RolloutState withArchive(String id) {
      return new RolloutState(phase, level, target, cursor, id, autoRaiseSuspended, recentOrders);
    }

    /** Returns this state with automatic rises of the level suspended or allowed. */
    public RolloutState withAutoRaiseSuspended(boolean isSuspended) {
      return new RolloutState(phase, level, target, cursor, archive, isSuspended, recentOrders);
    }

    /** Returns this state with one more outcome; only the latest {@code maxOutcomes} are kept. */
    public RolloutState withOutcome(OrderOutcome outcome, int maxOutcomes) {
      List<OrderOutcome> all = new ArrayList<>(recentOrders);
      all.add(outcome);
      List<OrderOutcome> latest = all.subList(Math.max(0, all.size() - maxOutcomes), all.size());
      return new RolloutState(
          phase, level, target, cursor, archive, autoRaiseSuspended, List.copyOf(latest));
    }
  }

  /**
   * The stored state of the feature level, as the leader sends it to the other controllers.
   *
   * @param revision the revision of the key that holds the state
   */
  public record RolloutNotice(RolloutState state, Revision revision) {}

  /**
   * A configured controller as the leader sees it.
   *
   * @param label the controller's name
   * @param announcement what the controller has announced; null if nothing
   * @param msSinceHeartbeat milliseconds since its last heartbeat; negative if the leader has
   *     received none in its term
   * @param settingsDiffer whether its settings differ from the leader's
   */
  public record RolloutMember(
      String label, Announcement announcement, long msSinceHeartbeat, boolean settingsDiffer) {}

  /**
   * The status of the feature level for operators.
   *
   * @param automatic whether the settings let the level rise without an order
   * @param waitingFor what the rise or fall waits for, one line each
   * @param archiveUnderWay the id of the archive that is being written; empty if none
   * @param rewritten number of keys that the current fall has rewritten
   * @param unreadable number of keys that the current fall could not read
   */
  public record RolloutStatus(
      RolloutState state,
      boolean automatic,
      List<RolloutMember> members,
      List<String> waitingFor,
      String archiveUnderWay,
      long rewritten,
      long unreadable) {}
}
