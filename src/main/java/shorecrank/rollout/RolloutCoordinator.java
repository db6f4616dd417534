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
 * Coordinates a rollout on the leader. It collects the feature levels that the configured
 * controllers support, raises the level in force once all of them support a higher one, lowers it
 * on an operator's order, and decides which controllers may own shards.
 */
public final class RolloutCoordinator {
  /**
   * A member whose last heartbeat is older than this many heartbeat intervals plus {@link
   * #HEARTBEAT_TIMEOUT_EXTRA_MS} prevents the feature level from being raised.
   */
  private static final long HEARTBEAT_TIMEOUT_INTERVALS = 3;

  private static final long HEARTBEAT_TIMEOUT_EXTRA_MS = 1000;

  /** Minimum time between two writes of the cursor while the level is being lowered. */
  private static final long CURSOR_WRITE_INTERVAL_MS = 2000;

  /**
   * Number of orders whose outcomes are stored. A repeated order with a stored outcome is not
   * executed again.
   */
  private static final int KEPT_OUTCOMES = 16;

  private static final double MS_PER_S = 1000;

  /** Receives the outcome of an order. */
  @FunctionalInterface
  public interface OutcomeListener {
    /**
     * Called once per order.
     *
     * @param outcome null if the outcome is unknown or the order could not be executed now; the
     *     operator has to send the order again
     */
    void onOutcome(OrderOutcome outcome);
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

  /** The term in which {@link #announcements} was filled and archives or rewrites were started. */
  private Revision term = Revision.ABSENT;

  /** The pass that rewrites stored values for a lower level; null if none is running. */
  private RecordRewriter rewriter;

  /** The level to which {@link #rewriter} was started. */
  private FeatureLevel rewriteTarget;

  private MonotonicTime cursorWrittenAt = MonotonicTime.NEVER;

  /**
   * Creates a coordinator that has not read the feature level.
   *
   * @param ownAnnouncement what this controller announces
   * @param members all configured controllers, this one included
   * @param heartbeatMs interval between two heartbeats of a controller, in milliseconds
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

  /**
   * Records a controller's heartbeat.
   *
   * @param announcement null if the heartbeat announces no levels
   */
  public void recordHeartbeat(ControllerName member, WriterId writer, Announcement announcement) {
    announcements.recordHeartbeat(member, writer, announcement, environment.now());
  }

  /**
   * Reports whether the feature level's key has been read in this term, so that shards may be
   * granted.
   */
  public boolean isReady() {
    return store.isRead();
  }

  /**
   * Returns the notice of the feature level for the other controllers; null while the level is not
   * known for certain.
   */
  public RolloutNotice notice() {
    return store.notice().orElse(null);
  }

  /**
   * Returns why a controller may not own shards; null if it may. To own shards, it must support the
   * level in force and have the leader's shared settings.
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

  /** Returns the controllers that have sent a heartbeat but not announced support for a level. */
  public List<ControllerName> membersNotSupporting(FeatureLevel level) {
    return announcements.membersNotSupporting(level);
  }

  /** Takes the next step of a rollout, if one is due; called once per round. */
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
   * Drops what was recorded and started in an earlier term, unless this process entered the new
   * term by switching the feature level. In that case the level's key still counts as read.
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

  private void change(RolloutState next, Consumer<CommitResult> callback) {
    if (!environment.tryTakeWrites(1)) {
      return;
    }
    if (next.phase() != RolloutPhase.FALLING) {
      rewriter = null;
    }
    store.write(next, callback);
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
    // Checked again right before the write: a member may have restarted with an earlier version.
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

  // ---- operators' orders and the status --------------------------------------------------------

  /**
   * Executes an order and passes its outcome to {@code listener}. If the outcome of an order with
   * the same id is stored, the order is not executed and {@code listener} receives the stored
   * outcome.
   */
  public void handleOrder(RolloutOrder order, OutcomeListener listener) {
    if (!store.isIdle()) {
      listener.onOutcome(null);
      return;
    }
    RolloutState state = store.state();
    for (OrderOutcome earlier : state.recentOrders()) {
      if (earlier.id().equals(order.id())) {
        listener.onOutcome(earlier);
        return;
      }
    }
    RolloutOrders.Decision decision = orders.decide(order, state);
    OrderOutcome outcome = decision.outcomeOf(order);
    if (decision.next().isEmpty()) {
      // The outcome is not stored: nothing has changed, so executing the order again is harmless.
      listener.onOutcome(outcome);
      return;
    }
    if (!environment.tryTakeWrites(1)) {
      listener.onOutcome(null);
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
          listener.onOutcome(isCommitted ? outcome : null);
        });
  }

  /**
   * Returns the status of the rollout for operators; null if the level's key has not been read in
   * this term or is malformed.
   */
  public RolloutStatus status() {
    if (!store.isReadable()) {
      return null;
    }
    RolloutState state = store.state();
    List<RolloutMember> memberStates = new ArrayList<>();
    for (ControllerName member : members) {
      memberStates.add(
          new RolloutMember(
              member.value(),
              announcements.announcement(member),
              announcements.msSinceHeartbeat(member, environment.now()),
              announcements.settingsDiffer(member)));
    }
    Optional<RecordRewriter> currentRewriter = Optional.ofNullable(rewriter);
    return new RolloutStatus(
        state,
        settings.automatic(),
        memberStates,
        describeWaiting(state),
        archiver.currentId().orElse(""),
        currentRewriter.map(RecordRewriter::rewritten).orElse(0L),
        currentRewriter.map(RecordRewriter::unreadable).orElse(0L));
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
