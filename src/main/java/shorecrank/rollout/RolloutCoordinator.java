package shorecrank.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import shorecrank.leadership.LeaderEnvironment;
import shorecrank.leadership.Leadership;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.RolloutMessages.Announcement;
import shorecrank.protocol.RolloutMessages.FeatureLevel;
import shorecrank.protocol.RolloutMessages.LevelRange;
import shorecrank.protocol.RolloutMessages.OrderOutcome;
import shorecrank.protocol.RolloutMessages.RolloutMember;
import shorecrank.protocol.RolloutMessages.RolloutNotice;
import shorecrank.protocol.RolloutMessages.RolloutOrder;
import shorecrank.protocol.RolloutMessages.RolloutPhase;
import shorecrank.protocol.RolloutMessages.RolloutState;
import shorecrank.protocol.RolloutMessages.RolloutStatus;
import shorecrank.storage.CommitResult;

/**
 * The leader's part in a rollout: it collects which levels the members support, raises the level in
 * force once all of them support the next one, lowers it when an operator asks, and says which
 * controllers may ownAnnouncement shards meanwhile.
 */
public final class RolloutCoordinator {
  /** A member that was not heard for so many heartbeats and a second more holds the level back. */
  private static final long HEARTBEAT_TIMEOUT_INTERVALS = 3;

  private static final long HEARTBEAT_TIMEOUT_EXTRA_MS = 1000;

  /** The least time between two writes of a downgrade's cursor. */
  private static final long CURSOR_WRITE_INTERVAL_MS = 2000;

  /** How many outcomes of orders are kept, so that a repeated order is not carried out again. */
  private static final int KEPT_OUTCOMES = 16;

  private static final double MS_PER_S = 1000;

  /** Takes an order's outcome. */
  @FunctionalInterface
  public interface OnOutcome {
    /**
     * Called once.
     *
     * @param outcome null if it is not known, and the order has to be sent again
     */
    void outcome(OrderOutcome outcome);
  }

  private final LeaderEnvironment environment;
  private final Leadership leadership;
  private final RolloutSettings settings;
  private final Announcement ownAnnouncement;
  private final List<ControllerName> members;
  private final long heartbeatTimeoutMs;
  private final MemberAnnouncements announcements;
  private final LevelStore store;
  private final Archiver archiver;
  private final RolloutOrders orders;

  /** The term under which announcements, archive and rewriter were begun. */
  private Revision term = Revision.ABSENT;

  /** The pass over the keys of a downgrade; null if none is under way. */
  private RecordRewriter rewriter;

  private FeatureLevel rewriteTarget;
  private MonotonicTime cursorWrittenAt = MonotonicTime.NEVER;

  /**
   * @param ownAnnouncement what this controller announces itself
   * @param members all controllers of the configuration, this one included
   * @param heartbeatMs how often they are heard
   */
  public RolloutCoordinator(
      LeaderEnvironment environment,
      Leadership leadership,
      RolloutSettings settings,
      Announcement ownAnnouncement,
      List<ControllerName> members,
      long heartbeatMs) {
    this.environment = environment;
    this.leadership = leadership;
    this.settings = settings;
    this.ownAnnouncement = ownAnnouncement;
    this.members = List.copyOf(members);
    this.heartbeatTimeoutMs =
        HEARTBEAT_TIMEOUT_INTERVALS * heartbeatMs + HEARTBEAT_TIMEOUT_EXTRA_MS;
    this.announcements = new MemberAnnouncements(this.members, ownAnnouncement.settingsDigest());
    this.store = new LevelStore(environment, leadership, ownAnnouncement.supported().highest());
    this.archiver =
        new Archiver(environment, leadership, ownAnnouncement.build(), settings.archivesKept());
    this.orders = new RolloutOrders(ownAnnouncement, level -> raiseBlockers(level, 0), archiver);
  }

  /** Takes a controller's heartbeat; {@code announcement} is null if it names no levels. */
  public void recordHeartbeat(ControllerName member, WriterId writer, Announcement announcement) {
    announcements.recordHeartbeat(member, writer, announcement, environment.now());
  }

  /** Whether the level is known, so that shards may be granted. */
  public boolean isReady() {
    return store.isRead();
  }

  /** What other controllers are told of the level; null while it is not known for sure. */
  public RolloutNotice notice() {
    return store.notice().orElse(null);
  }

  /**
   * Why a controller may not ownAnnouncement a shard; null if it may. It has to support the level
   * in force, and to have the settings that all controllers share.
   */
  public String ineligibilityReason(ControllerName member) {
    LevelRange supported = announcements.supportedLevels(member);
    FeatureLevel required = store.requiredLevel();
    if (!supported.supports(required)) {
      return "it supports levels %s, and %s is in force".formatted(supported, required);
    }
    return announcements.settingsDiffer(member)
        ? "its shared settings differ from the leader's"
        : null;
  }

  /** Controllers of the fleet that were heard and don't support a level. */
  public List<ControllerName> membersNotSupporting(FeatureLevel level) {
    return announcements.membersNotSupporting(level);
  }

  /** Takes the next step of a rollout, if one is due; called once a round. */
  public void tick() {
    if (leadership.isLeading() && !leadership.term().equals(term)) {
      beginTerm();
    }
    store.tick();
    if (!leadership.isLeading() || !store.isIdle()) {
      return;
    }
    updateGauges();
    archiver.tick();
    archiver.completeId().ifPresent(this::recordArchive);
    if (!store.isIdle()) {
      return;
    }
    switch (store.state().phase()) {
      case STABLE -> startAutomaticRaise();
      case RAISING -> continueRaising();
      case FALLING -> continueLowering();
    }
  }

  /**
   * Drops what was heard and begun under an earlier term; the store holds the rest. If the term has
   * changed with the level, the store is still read, and nothing is dropped.
   */
  private void beginTerm() {
    boolean isLevelSwitch = store.isRead();
    term = leadership.term();
    if (!isLevelSwitch) {
      announcements.reset();
      rewriter = null;
      archiver.reset();
    }
  }

  private void updateGauges() {
    RolloutState state = store.state();
    environment.gauge("rollout.level", state.level().value());
    environment.gauge("rollout.write_level", state.writeLevel().value());
    long differing = members.stream().filter(announcements::settingsDiffer).count();
    environment.gauge("rollout.settings_differ", differing);
  }

  private void change(RolloutState next, Consumer<CommitResult> then) {
    if (!environment.tryTakeWrites(1)) {
      return;
    }
    if (next.phase() != RolloutPhase.FALLING) {
      rewriter = null;
    }
    store.write(next, then);
  }

  private void recordArchive(String id) {
    change(
        store.state().withArchive(id),
        result -> {
          if (result.isCommitted()) {
            archiver.release();
          }
        });
  }

  // ---- raising the level -----------------------------------------------------------------------

  private List<String> raiseBlockers(FeatureLevel level, long settleMs) {
    return announcements.raiseBlockers(level, environment.now(), heartbeatTimeoutMs, settleMs);
  }

  private List<String> raiseBlockers(FeatureLevel level) {
    return raiseBlockers(level, (long) (settings.settleS() * MS_PER_S));
  }

  private void startAutomaticRaise() {
    FeatureLevel target = announcements.highestCommonLevel();
    RolloutState state = store.state();
    boolean isAutomatic = settings.automatic() && !state.autoRaiseSuspended();
    boolean isDue = isAutomatic && target.compareTo(state.level()) > 0;
    if (isDue && raiseBlockers(target).isEmpty()) {
      environment.info("rollout.started level=%s target=%s", state.level(), target);
      change(state.withTarget(RolloutPhase.RAISING, target).withArchive(""), result -> {});
    }
  }

  private void continueRaising() {
    RolloutState state = store.state();
    if (settings.archiveBeforeRaise() && state.archive().isEmpty()) {
      archiver.startIfPossible(state.level());
      return;
    }
    // Counted anew right before the change: a member may have come back in an earlier version.
    if (!raiseBlockers(state.target()).isEmpty()) {
      return;
    }
    environment.info("rollout.raising level=%s target=%s", state.level(), state.target());
    change(
        state.stableAt(state.target()),
        result -> {
          if (result.isCommitted()) {
            environment.info("rollout.finalized level=%s", store.state().level());
            environment.count("rollout.finalized", 1);
          }
        });
  }

  // ---- lowering the level ----------------------------------------------------------------------

  private void continueLowering() {
    RolloutState state = store.state();
    if (rewriter == null || !state.target().equals(rewriteTarget)) {
      rewriteTarget = state.target();
      rewriter =
          new RecordRewriter(
              environment, leadership, state.target(), state.cursor(), settings.rewritesPerS());
    }
    rewriter.tick();
    if (rewriter.isDone()) {
      finishLowering(state);
    } else if (!rewriter.cursor().equals(state.cursor())
        && environment.now().since(cursorWrittenAt) >= CURSOR_WRITE_INTERVAL_MS) {
      cursorWrittenAt = environment.now();
      change(state.withCursor(rewriter.cursor()), result -> {});
    }
  }

  private void finishLowering(RolloutState state) {
    environment.info("rollout.lowering level=%s target=%s", state.level(), state.target());
    change(
        state.stableAt(state.target()),
        result -> {
          if (result.isCommitted()) {
            environment.info("rollout.reversed level=%s", store.state().level());
            environment.count("rollout.reversed", 1);
          }
        });
  }

  // ---- operators -------------------------------------------------------------------------------

  /** Carries an order out, once for each id. */
  public void order(RolloutOrder order, OnOutcome then) {
    if (!store.isIdle()) {
      then.outcome(null);
      return;
    }
    RolloutState state = store.state();
    for (OrderOutcome earlier : state.recentOrders()) {
      if (earlier.id().equals(order.id())) {
        then.outcome(earlier);
        return;
      }
    }
    RolloutOrders.Decision decision = orders.decide(order, state);
    OrderOutcome outcome = decision.outcomeOf(order);
    if (decision.next().isEmpty()) {
      // Nothing changes, so a repetition does no harm.
      then.outcome(outcome);
      return;
    }
    if (!environment.tryTakeWrites(1)) {
      then.outcome(null);
      return;
    }
    environment.info(
        "rollout.ordered id=%s order=%s text=\"%s\"",
        order.id(), order.kind().wireName(), decision.text());
    rewriter = null;
    store.write(
        decision.next().get().withOutcome(outcome, KEPT_OUTCOMES),
        result -> {
          boolean isCommitted = result.isCommitted();
          if (isCommitted && !decision.archiveId().isEmpty() && archiver.currentId().isEmpty()) {
            archiver.start(decision.archiveId(), store.state().level());
          }
          then.outcome(isCommitted ? outcome : null);
        });
  }

  /** All that an operator is told of the rollout; null while the level is not known. */
  public RolloutStatus status() {
    if (!store.isReadable()) {
      return null;
    }
    RolloutState state = store.state();
    List<RolloutMember> all = new ArrayList<>();
    for (ControllerName member : members) {
      all.add(
          new RolloutMember(
              member.value(),
              announcements.announcement(member),
              announcements.heardMsAgo(member, environment.now()),
              announcements.settingsDiffer(member)));
    }
    Optional<RecordRewriter> pass = Optional.ofNullable(rewriter);
    return new RolloutStatus(
        state,
        settings.automatic(),
        all,
        describeWaiting(state),
        archiver.currentId().orElse(""),
        pass.map(RecordRewriter::rewritten).orElse(0L),
        pass.map(RecordRewriter::unreadable).orElse(0L));
  }

  private List<String> describeWaiting(RolloutState state) {
    List<String> waiting = new ArrayList<>();
    if (state.phase() == RolloutPhase.RAISING) {
      archiver.currentId().ifPresent(id -> waiting.add("archive %s to be written".formatted(id)));
      waiting.addAll(raiseBlockers(state.target()));
    } else if (state.phase() == RolloutPhase.FALLING && rewriter != null) {
      waiting.add("records to be rewritten, up to key \"%s\" so far".formatted(rewriter.cursor()));
      if (!rewriter.tooLargeKey().isEmpty()) {
        waiting.add(
            "%s is too large for an earlier form until tasks of it end"
                .formatted(rewriter.tooLargeKey()));
      }
    } else if (settings.automatic()
        && ownAnnouncement.supported().highest().compareTo(state.level()) > 0) {
      waiting.addAll(raiseBlockers(ownAnnouncement.supported().highest()));
    }
    return waiting;
  }
}
