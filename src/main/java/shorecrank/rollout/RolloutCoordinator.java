package shorecrank.rollout;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.List;
import shorecrank.leadership.LeaderEnvironment;
import shorecrank.leadership.Leadership;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.RolloutMessages.Announcement;
import shorecrank.protocol.RolloutMessages.FeatureLevel;
import shorecrank.protocol.RolloutMessages.LevelRange;
import shorecrank.protocol.RolloutMessages.Member;
import shorecrank.protocol.RolloutMessages.Notice;
import shorecrank.protocol.RolloutMessages.Order;
import shorecrank.protocol.RolloutMessages.OrderOutcome;
import shorecrank.protocol.RolloutMessages.Phase;
import shorecrank.protocol.RolloutMessages.RolloutState;
import shorecrank.protocol.RolloutMessages.Status;

/**
 * The leader's part in a rollout: it counts which members support what, raises the level when all
 * do, lowers it when an operator asks, and says who may own shards meanwhile.
 */
public final class RolloutCoordinator {
  /** So many heartbeats a member may miss and still counts as heard lately. */
  private static final long FRESH_HEARTBEATS = 3;

  private static final long FRESH_EXTRA_MS = 1000;

  /** The cursor of a downgrade is written down so often at the most. */
  private static final long CURSOR_PAUSE_MS = 2000;

  /** After an archive could not be made, the next is begun so much later. */
  private static final long ARCHIVE_RETRY_MS = 10_000;

  /** Outcomes of orders that are kept, so that a repeated order is not carried out again. */
  private static final int KEPT_ORDERS = 16;

  private static final DateTimeFormatter ARCHIVE_TIME =
      DateTimeFormatter.ofPattern("yyyyMMdd'T'HHmmss'Z'").withZone(ZoneOffset.UTC);

  /** Takes an order's outcome; null if it is not known, and the order has to be sent again. */
  @FunctionalInterface
  public interface OnOutcome {
    /** Called once. */
    void outcome(OrderOutcome outcome);
  }

  private final LeaderEnvironment environment;
  private final Leadership leadership;
  private final RolloutSettings settings;
  private final Announcement own;
  private final List<ControllerName> members;
  private final long freshMs;
  private final SupportVotes votes;
  private final LevelStore store;
  private final ArchiveCleaner cleaner;
  private Revision term = Revision.ABSENT;
  private ArchiveTask archive;
  private MonotonicTime archiveRetryAt = MonotonicTime.NEVER;
  private RecordRewriter rewriter;
  private FeatureLevel rewriteTarget;
  private MonotonicTime cursorAt = MonotonicTime.NEVER;

  /**
   * @param own what this controller announces itself
   * @param members all controllers of the configuration, this one included
   * @param heartbeatMs how often they are heard
   */
  public RolloutCoordinator(
      LeaderEnvironment environment,
      Leadership leadership,
      RolloutSettings settings,
      Announcement own,
      List<ControllerName> members,
      long heartbeatMs) {
    this.environment = environment;
    this.leadership = leadership;
    this.settings = settings;
    this.own = own;
    this.members = List.copyOf(members);
    this.freshMs = FRESH_HEARTBEATS * heartbeatMs + FRESH_EXTRA_MS;
    this.votes = new SupportVotes(this.members, own.settingsDigest());
    this.store = new LevelStore(environment, leadership, own.supported().highest());
    this.cleaner = new ArchiveCleaner(environment, leadership, settings.archivesKept());
  }

  /** A controller's heartbeat has come; {@code announcement} is null if it names no levels. */
  public void heard(ControllerName label, WriterId writer, Announcement announcement) {
    votes.heard(label, writer, announcement, environment.now());
  }

  /** Whether the level is known, so that shards may be granted. */
  public boolean ready() {
    return store.read();
  }

  /** What other controllers are told of the level; null while it is not known. */
  public Notice notice() {
    return store.notice();
  }

  /**
   * Why a controller may not own a shard; null if it may. It has to support what is in force, and
   * the settings that all share.
   */
  public String reasonAgainstOwner(ControllerName label) {
    LevelRange supported = votes.supported(label);
    if (!supported.supports(store.required())) {
      return "it supports levels %s, and %s is in force".formatted(supported, store.required());
    }
    return votes.settingsDiffer(label) ? "its shared settings differ from the leader's" : null;
  }

  /** Controllers of the fleet that were heard and don't support a level. */
  public List<ControllerName> unsupporting(FeatureLevel level) {
    return votes.unsupporting(level);
  }

  /** Once a round. */
  public void tick() {
    if (leadership.leading() && !leadership.term().equals(term)) {
      termBegan();
    }
    store.tick();
    if (!leadership.leading() || !store.idle()) {
      return;
    }
    gauges();
    if (archive != null) {
      archive.tick();
      if (archive.done() || archive.failed()) {
        archiveEnded();
      }
    } else {
      cleaner.tick();
    }
    if (!store.idle()) {
      return;
    }
    switch (store.state().phase()) {
      case STABLE -> riseIfAutomatic();
      case RAISING -> raise();
      case FALLING -> fall();
    }
  }

  /** What was heard and begun under an earlier term counts for nothing; the store says the rest. */
  private void termBegan() {
    boolean switched = store.read();
    term = leadership.term();
    if (!switched) {
      votes.reset();
      archive = null;
      rewriter = null;
      cleaner.look();
    }
  }

  private void gauges() {
    RolloutState state = store.state();
    environment.gauge("rollout.level", state.level().value());
    environment.gauge("rollout.write_level", state.writeLevel().value());
    long differing = members.stream().filter(votes::settingsDiffer).count();
    environment.gauge("rollout.settings_differ", differing);
  }

  // ---- rising ----------------------------------------------------------------------------------

  private List<String> reasonsAgainst(FeatureLevel level) {
    return votes.reasonsAgainst(level, environment.now(), freshMs, settleMs());
  }

  private long settleMs() {
    return (long) (settings.settleS() * 1000);
  }

  private void riseIfAutomatic() {
    FeatureLevel target = votes.highestOfAll();
    FeatureLevel level = store.state().level();
    boolean automatic = settings.automatic() && !store.state().held();
    boolean due = automatic && target.compareTo(level) > 0;
    if (due && reasonsAgainst(target).isEmpty()) {
      environment.info("rollout begins level=%s target=%s", level, target);
      change(store.state().toward(Phase.RAISING, target).archivedAs(""), r -> {});
    }
  }

  private void raise() {
    RolloutState state = store.state();
    if (settings.archiveBeforeRaise() && state.archive().isEmpty()) {
      if (archive == null && !environment.now().before(archiveRetryAt)) {
        beginArchive(newArchiveId());
      }
      return;
    }
    // Counted anew right before the change: who has come back in an earlier version holds it.
    if (!reasonsAgainst(state.target()).isEmpty()) {
      return;
    }
    environment.info("rollout raises level=%s target=%s", state.level(), state.target());
    change(
        state.settled(state.target()),
        result -> {
          if (result == LevelStore.Result.COMMITTED) {
            environment.info("rollout finalized level=%s", store.state().level());
            environment.count("rollout.finalized", 1);
          }
        });
  }

  // ---- falling ---------------------------------------------------------------------------------

  private void fall() {
    RolloutState state = store.state();
    if (rewriter == null || !state.target().equals(rewriteTarget)) {
      rewriteTarget = state.target();
      rewriter =
          new RecordRewriter(
              environment, leadership, state.target(), state.cursor(), settings.rewritesPerS());
    }
    rewriter.tick();
    if (rewriter.done()) {
      environment.info("rollout falls level=%s target=%s", state.level(), state.target());
      change(
          state.settled(state.target()),
          result -> {
            if (result == LevelStore.Result.COMMITTED) {
              environment.info("rollout reversed level=%s", store.state().level());
              environment.count("rollout.reversed", 1);
            }
          });
    } else if (!rewriter.cursor().equals(state.cursor())
        && environment.now().since(cursorAt) >= CURSOR_PAUSE_MS) {
      cursorAt = environment.now();
      change(state.scannedTo(rewriter.cursor()), r -> {});
    }
  }

  private void change(RolloutState next, LevelStore.OnWritten then) {
    if (!environment.takeWrites(1)) {
      return;
    }
    if (next.phase() != Phase.FALLING) {
      rewriter = null;
    }
    store.write(next, then);
  }

  // ---- archives --------------------------------------------------------------------------------

  private String newArchiveId() {
    String time = ARCHIVE_TIME.format(Instant.ofEpochMilli(environment.wallMs()));
    return time + "-" + leadership.term();
  }

  private void beginArchive(String id) {
    environment.info("archive begun id=%s", id);
    archive = new ArchiveTask(environment, leadership, id, own.build(), store.state().level());
  }

  private void archiveEnded() {
    if (archive.failed()) {
      archive = null;
      archiveRetryAt = environment.now().plus(ARCHIVE_RETRY_MS);
      return;
    }
    String id = archive.id();
    change(
        store.state().archivedAs(id),
        result -> {
          if (result == LevelStore.Result.COMMITTED) {
            archive = null;
            cleaner.look();
          }
        });
  }

  // ---- operators -------------------------------------------------------------------------------

  /** Carries an order out, once for each id. */
  public void order(Order order, OnOutcome then) {
    if (!store.idle()) {
      then.outcome(null);
      return;
    }
    for (OrderOutcome earlier : store.state().recentOrders()) {
      if (earlier.id().equals(order.id())) {
        then.outcome(earlier);
        return;
      }
    }
    RolloutState state = store.state();
    Decision decision =
        switch (order.kind()) {
          case FINALIZE -> finalizeLevel(state, order.target());
          case DOWNGRADE -> downgrade(state, order.target());
          case ABORT -> abort(state);
          case ARCHIVE -> archiveNow(state);
        };
    OrderOutcome outcome =
        new OrderOutcome(
            order.id(), order.kind(), decision.accepted(), decision.text(), decision.archive());
    if (decision.next() == null) {
      // Nothing changes, so there is nothing that a repetition could do twice.
      then.outcome(outcome);
      return;
    }
    if (!environment.takeWrites(1)) {
      then.outcome(null);
      return;
    }
    environment.info(
        "rollout order id=%s order=%s text=\"%s\"",
        order.id(), order.kind().wire(), decision.text());
    rewriter = null;
    store.write(
        decision.next().with(outcome, KEPT_ORDERS),
        result -> {
          boolean committed = result == LevelStore.Result.COMMITTED;
          if (committed && !decision.archive().isEmpty() && archive == null) {
            beginArchive(decision.archive());
          }
          then.outcome(committed ? outcome : null);
        });
  }

  /**
   * What is made of an order.
   *
   * @param next what the level's key is to hold; null if it stays as it is
   * @param archive the archive that the order is about; empty if none
   */
  private record Decision(RolloutState next, boolean accepted, String text, String archive) {
    static Decision refused(String why) {
      return new Decision(null, false, why, "");
    }

    static Decision already(String text) {
      return new Decision(null, true, text, "");
    }

    static Decision change(RolloutState next, String text) {
      return new Decision(next, true, text, "");
    }
  }

  private Decision finalizeLevel(RolloutState state, int asked) {
    FeatureLevel target = asked < 0 ? own.supported().highest() : new FeatureLevel(asked);
    if (!own.supported().supports(target)) {
      return Decision.refused(
          "level %s is out of range: the leader's build %s supports %s"
              .formatted(target, own.build(), own.supported()));
    }
    if (state.phase() == Phase.FALLING) {
      return Decision.refused(
          "the level is falling from %s to %s: abort that first"
              .formatted(state.level(), state.target()));
    }
    if (state.phase() == Phase.RAISING) {
      return state.target().equals(target)
          ? Decision.already("level %s is being raised to already".formatted(target))
          : Decision.refused(
              "the level is rising to %s: abort that first".formatted(state.target()));
    }
    if (target.equals(state.level())) {
      return Decision.already("level %s is in force already".formatted(target));
    }
    if (target.compareTo(state.level()) < 0) {
      return Decision.refused(
          "level %s is below %s, which is in force: use downgrade"
              .formatted(target, state.level()));
    }
    // How long they have supported it is waited for; whether they do is said at once.
    List<String> against = votes.reasonsAgainst(target, environment.now(), freshMs, 0);
    if (!against.isEmpty()) {
      return Decision.refused(against.get(0));
    }
    return Decision.change(
        state.toward(Phase.RAISING, target).archivedAs("").heldBack(false),
        "level rises from %s to %s".formatted(state.level(), target));
  }

  private Decision downgrade(RolloutState state, int asked) {
    FeatureLevel target = asked < 0 ? FeatureLevel.LOWEST : new FeatureLevel(asked);
    if (state.phase() == Phase.FALLING && state.target().equals(target)) {
      return Decision.already("level %s is being lowered to already".formatted(target));
    }
    if (state.phase() != Phase.STABLE) {
      return Decision.refused(
          "the level is on its way from %s to %s: abort that first"
              .formatted(state.level(), state.target()));
    }
    if (target.equals(state.level())) {
      return Decision.already("level %s is in force already".formatted(target));
    }
    if (target.compareTo(state.level()) > 0) {
      return Decision.refused(
          "level %s is above %s, which is in force: use finalize".formatted(target, state.level()));
    }
    return Decision.change(
        state.toward(Phase.FALLING, target).heldBack(true),
        "level falls from %s to %s".formatted(state.level(), target));
  }

  private Decision abort(RolloutState state) {
    if (state.phase() == Phase.STABLE) {
      return Decision.refused(
          "level %s is in force, and nothing is under way".formatted(state.level()));
    }
    return Decision.change(
        state.settled(state.level()).heldBack(state.phase() == Phase.RAISING),
        "level stays at %s, no longer on its way to %s".formatted(state.level(), state.target()));
  }

  private Decision archiveNow(RolloutState state) {
    if (archive != null) {
      String text = "archive %s is being made already".formatted(archive.id());
      return new Decision(null, true, text, archive.id());
    }
    String id = newArchiveId();
    return new Decision(state, true, "archive %s is being made".formatted(id), id);
  }

  /** All that an operator is told; null while the level is not known. */
  public Status status() {
    if (!store.ready()) {
      return null;
    }
    RolloutState state = store.state();
    List<Member> all = new ArrayList<>();
    for (ControllerName label : members) {
      all.add(
          new Member(
              label.value(),
              votes.announcement(label),
              votes.heardMsAgo(label, environment.now()),
              votes.settingsDiffer(label)));
    }
    return new Status(
        state,
        settings.automatic(),
        all,
        waitingFor(state),
        archive == null ? "" : archive.id(),
        rewriter == null ? 0 : rewriter.rewritten(),
        rewriter == null ? 0 : rewriter.unreadable());
  }

  private List<String> waitingFor(RolloutState state) {
    List<String> waiting = new ArrayList<>();
    if (state.phase() == Phase.RAISING) {
      if (archive != null) {
        waiting.add("archive %s to be written".formatted(archive.id()));
      }
      waiting.addAll(reasonsAgainst(state.target()));
    } else if (state.phase() == Phase.FALLING && rewriter != null) {
      waiting.add("records to be rewritten, up to key \"%s\" so far".formatted(rewriter.cursor()));
      if (!rewriter.tooLarge().isEmpty()) {
        waiting.add(
            "%s is too large for an earlier form until tasks of it end"
                .formatted(rewriter.tooLarge()));
      }
    } else if (settings.automatic() && own.supported().highest().compareTo(state.level()) > 0) {
      waiting.addAll(reasonsAgainst(own.supported().highest()));
    }
    return waiting;
  }
}
