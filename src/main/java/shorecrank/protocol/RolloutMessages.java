package shorecrank.protocol;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import shorecrank.protocol.Ids.Revision;

/** Feature levels: controllers' announcements, the level's key, operators' orders and status. */
public final class RolloutMessages {
  /** The key that holds the {@link RolloutState}. */
  public static final String KEY = "rollout";

  private RolloutMessages() {}

  /** A step in the sequence of forms and behaviours; what a fleet may use rises and falls by it. */
  public record FeatureLevel(int value) implements Comparable<FeatureLevel> {
    /** The level of all versions from before levels existed. */
    public static final FeatureLevel LOWEST = new FeatureLevel(0);

    /** Whether this level is at least the other. */
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

  /** The levels that a version can work at. */
  public record LevelRange(FeatureLevel lowest, FeatureLevel highest) {
    /** The range of versions that announce nothing. */
    public static final LevelRange UNANNOUNCED =
        new LevelRange(FeatureLevel.LOWEST, FeatureLevel.LOWEST);

    /** Whether a version with this range can work at the level. */
    public boolean supports(FeatureLevel level) {
      return level.includes(lowest) && highest.includes(level);
    }

    @Override
    public String toString() {
      return lowest + "-" + highest;
    }
  }

  /** What a controller says of its version in its heartbeat. */
  public record Announcement(String build, LevelRange supported, String settingsDigest) {}

  /** Whether the level in force stays, rises, or falls. */
  public enum RolloutPhase {
    /** The level stays. */
    STABLE,
    /** The level rises to the target. */
    RAISING,
    /** Records are rewritten to the forms of the target, a lower level. */
    FALLING
  }

  /** What operators may ask for. */
  public enum OrderKind {
    /** Raise the level. */
    FINALIZE,
    /** Lower the level. */
    DOWNGRADE,
    /** Stop a rise or fall that is under way. */
    ABORT,
    /** Archive the keys of the state service. */
    ARCHIVE;

    /** The order's name on the wire and on the command line. */
    public String wireName() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /**
   * An operator's order. One {@code id} is carried out once, however often and wherever it is sent.
   *
   * @param target the level asked for; negative if the order names none
   */
  public record RolloutOrder(String id, OrderKind kind, int target) {}

  /**
   * What became of an order.
   *
   * @param text the outcome for operators, one line
   * @param archive the archive that the order is about; empty if none
   */
  public record OrderOutcome(
      String id, OrderKind kind, boolean accepted, String text, String archive) {}

  /**
   * The value of {@link #KEY}.
   *
   * @param level what is in force: every owner must support it, since its forms may be stored
   * @param target where a rise or fall leads; the level itself when stable
   * @param cursor while falling, the last key that was looked at; empty before the first
   * @param archive the newest complete archive of the keys; empty if there is none
   * @param autoRaiseSuspended whether an operator has lowered the level or stopped a rise: it then
   *     rises by an operator's order only
   * @param recentOrders outcomes of the latest orders, the oldest first
   */
  public record RolloutState(
      RolloutPhase phase,
      FeatureLevel level,
      FeatureLevel target,
      String cursor,
      String archive,
      boolean autoRaiseSuspended,
      List<OrderOutcome> recentOrders) {

    /** The state of a store that has never held the key. */
    public static final RolloutState INITIAL =
        new RolloutState(
            RolloutPhase.STABLE,
            FeatureLevel.LOWEST,
            FeatureLevel.LOWEST,
            "",
            "",
            false,
            List.of());

    /** The highest level whose forms may be written. */
    public FeatureLevel writeLevel() {
      return phase == RolloutPhase.FALLING ? target : level;
    }

    /** The same in another phase with another target; the cursor begins anew. */
    public RolloutState withTarget(RolloutPhase newPhase, FeatureLevel newTarget) {
      return new RolloutState(
          newPhase, level, newTarget, "", archive, autoRaiseSuspended, recentOrders);
    }

    /** The same, stable at a level. */
    public RolloutState stableAt(FeatureLevel newLevel) {
      return new RolloutState(
          RolloutPhase.STABLE, newLevel, newLevel, "", archive, autoRaiseSuspended, recentOrders);
    }

    /** The same with another cursor. */
    public RolloutState withCursor(String key) {
      return new RolloutState(phase, level, target, key, archive, autoRaiseSuspended, recentOrders);
    }

    /** The same with another archive. */
    public RolloutState withArchive(String id) {
      return new RolloutState(phase, level, target, cursor, id, autoRaiseSuspended, recentOrders);
    }

    /** The same, to rise by an operator's order only or by itself. */
    public RolloutState withAutoRaiseSuspended(boolean isSuspended) {
      return new RolloutState(phase, level, target, cursor, archive, isSuspended, recentOrders);
    }

    /** The same with one more outcome, of which the latest {@code maxOutcomes} are kept. */
    public RolloutState withOutcome(OrderOutcome outcome, int maxOutcomes) {
      List<OrderOutcome> all = new ArrayList<>(recentOrders);
      all.add(outcome);
      List<OrderOutcome> latest = all.subList(Math.max(0, all.size() - maxOutcomes), all.size());
      return new RolloutState(
          phase, level, target, cursor, archive, autoRaiseSuspended, List.copyOf(latest));
    }
  }

  /**
   * The level's key as the leader tells it to the others.
   *
   * @param revision of the key when it held this state
   */
  public record RolloutNotice(RolloutState state, Revision revision) {}

  /**
   * A controller of the configuration, as the leader sees it.
   *
   * @param announcement what it supports; null if it announced nothing
   * @param heardMsAgo milliseconds since its last heartbeat
   * @param settingsDiffer whether its settings differ from the leader's
   */
  public record RolloutMember(
      String label, Announcement announcement, long heardMsAgo, boolean settingsDiffer) {}

  /**
   * All that an operator is told of a rollout.
   *
   * @param automatic whether the level rises by itself
   * @param waitingFor what is in the way of a rise, one line each
   * @param archiveUnderWay the archive that is being written; empty if none
   * @param rewritten keys that the present fall has rewritten
   * @param unreadable keys that it could not read
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
