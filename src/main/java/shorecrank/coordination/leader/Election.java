package shorecrank.coordination.leader;

import java.util.Optional;
import shorecrank.coordination.leader.GrantClient.Renewal;
import shorecrank.coordination.step.StepContext;
import shorecrank.leadership.Leadership;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.RolloutMessages.FeatureLevel;
import shorecrank.protocol.RolloutMessages.LevelRange;
import shorecrank.protocol.StoreMessages.Change;
import shorecrank.protocol.StoreMessages.Entry;
import shorecrank.protocol.StoreMessages.Transaction;
import shorecrank.rollout.Feature;
import shorecrank.storage.CommitResult;
import shorecrank.storage.CommitResult.Committed;
import shorecrank.storage.ReadResult;
import shorecrank.storage.WatchResult;

/**
 * Elects the leader of the fleet: the process whose name is in the leader's key, which is attached
 * to a live grant of the state service (see {@link GrantClient}). The key's revision is the
 * leader's term, and it guards every write of the leader.
 *
 * <p>A process first reads the key. While another process leads, it watches the key; once the key
 * is deleted, it campaigns with a new grant of its own; after a won campaign, it renews the grant
 * until a renewal is refused. Whenever its state is uncertain, it reads the key again.
 */
public final class Election implements Leadership {
  /** The key that names the leader. */
  public static final String KEY = "leader";

  /**
   * The key to which the leader's grant is attached from the level of {@link
   * Feature#PROTECTED_LEADERSHIP} on. {@link #KEY} then has no grant, is never deleted and only
   * names the leader, so that a version without feature levels never finds the leadership vacant.
   */
  static final String PROTECTED_KEY = "leadership";

  /**
   * The pause after which a controller that doesn't support the feature level in force reads the
   * leader's key again.
   */
  private static final int UNSUPPORTED_LEVEL_PAUSE_MS = 2000;

  private static final int CALL_TIMEOUT_MS = 1500;
  private static final int WATCH_HOLD_MS = 15_000;
  private static final int READ_RETRY_MS = 500;
  private static final int WATCH_RETRY_MS = 400;
  private static final int GRANT_RETRY_MS = 400;
  private static final int LOST_CAMPAIGN_PAUSE_MS = 300;
  private static final int RENEW_RETRY_MS = 250;
  private static final int TERM_ENDED_PAUSE_MS = 50;

  /**
   * The average delay of a campaign after the leader's key is deleted; it is randomized so that the
   * controllers don't all campaign at once.
   */
  private static final int CAMPAIGN_DELAY_MS = 60;

  private static final int OWN_GRANT_REVOKED_PAUSE_MS = 20;

  /** The number of renewals of a grant within its time to live. */
  private static final int RENEWALS_PER_TTL = 4;

  /**
   * A grant's time to live is divided by this number to get the part that is deducted for clock
   * drift: grants expire by the state service's clock, and this process's clock may be fast or slow
   * by 0.05%.
   */
  private static final int CLOCK_DRIFT_DIVISOR = 500;

  private static final int VALIDITY_MARGIN_MS = 20;
  private static final long NO_GRANT = -1;

  /** What a process does next in the election. */
  private enum State {
    /** Reads the leader's key to learn who leads. */
    READING,
    /** Watches the leader's key while another process leads. */
    WATCHING,
    /** Tries to write the leader's key, which does not exist. */
    CAMPAIGNING,
    /** Holds the leader's key and renews the grant to which that key is attached. */
    LEADING
  }

  private final StepContext context;
  private final GrantClient grants;

  /** The feature levels that this build supports; null if rollouts are not enabled. */
  private final LevelRange supported;

  private State state = State.READING;
  private boolean callPending;
  private MonotonicTime nextStepAt = new MonotonicTime(0);
  private long watchedRevision;
  private ControllerName leader;
  private Revision term = Revision.ABSENT;
  private long grant = NO_GRANT;
  private MonotonicTime validUntil = MonotonicTime.NEVER;
  private MonotonicTime renewAt = MonotonicTime.NEVER;

  /**
   * The feature level in {@link #KEY}; the lowest level while the grant is attached to that key.
   */
  private FeatureLevel level = FeatureLevel.LOWEST;

  /** The revision of {@link #KEY} while the grant is attached to {@link #PROTECTED_KEY}. */
  private Revision leaderKeyRevision = Revision.ABSENT;

  /**
   * Creates an election that has not read the leader's key yet.
   *
   * @param supported the feature levels that this build supports; null if rollouts are not enabled
   */
  public Election(StepContext context, LevelRange supported) {
    this.context = context;
    this.grants = new GrantClient(context);
    this.supported = supported;
  }

  // ---- state -----------------------------------------------------------------------------------

  /** Returns the key to which the leader's grant is attached. */
  public String key() {
    return isProtected() ? PROTECTED_KEY : KEY;
  }

  /** Reports whether the leader's grant is attached to {@link #PROTECTED_KEY}. */
  private boolean isProtected() {
    return isProtected(level);
  }

  private static boolean isProtected(FeatureLevel level) {
    return level.includes(Feature.PROTECTED_LEADERSHIP.level());
  }

  /** Returns the leader that was last observed; null if none is known. */
  public ControllerName leader() {
    return leader;
  }

  /**
   * Reports whether this process wrote the leader's key and has had no answer that its grant has
   * ended; the grant may have expired since.
   */
  public boolean isHoldingKey() {
    return state == State.LEADING;
  }

  @Override
  public boolean isLeading() {
    return state == State.LEADING && context.now().isBefore(validUntil);
  }

  @Override
  public Revision term() {
    return term;
  }

  @Override
  public void guard(Transaction transaction) {
    transaction.guard(key(), term);
  }

  // ---- state machine ---------------------------------------------------------------------------

  /** Takes the next step of the election if it is due; called on every tick of the controller. */
  public void tick() {
    MonotonicTime now = context.now();
    if (state == State.LEADING) {
      if (!now.isBefore(renewAt)) {
        renew();
      }
      return;
    }
    if (callPending || now.isBefore(nextStepAt)) {
      return;
    }
    switch (state) {
      case READING -> read();
      case WATCHING -> watch();
      case CAMPAIGNING -> campaign();
      case LEADING -> {}
    }
  }

  /**
   * Enters a state.
   *
   * @param pauseMs the average delay of the next step in milliseconds; it is randomized unless it
   *     is 0
   */
  private void enter(State next, int pauseMs) {
    callPending = false;
    state = next;
    int delayMs = pauseMs == 0 ? 0 : pauseMs / 2 + context.random().nextInt(pauseMs + 1);
    nextStepAt = context.now().plus(delayMs);
  }

  // ---- reading ---------------------------------------------------------------------------------

  private void read() {
    callPending = true;
    context.store().read(KEY, CALL_TIMEOUT_MS, this::handleLeaderKeyRead);
  }

  private void handleLeaderKeyRead(ReadResult result) {
    if (result instanceof ReadResult.Found found
        && supported != null
        && LeaderNameCodec.isMovedTo(found.entry().value(), PROTECTED_KEY)) {
      leaderKeyRevision = found.entry().revision();
      level = LeaderNameCodec.readLevel(found.entry().value());
      context.store().read(PROTECTED_KEY, CALL_TIMEOUT_MS, this::handleGrantKeyRead);
      return;
    }
    if (!(result instanceof ReadResult.Unavailable)) {
      level = FeatureLevel.LOWEST;
    }
    handleGrantKeyRead(result);
  }

  private void handleGrantKeyRead(ReadResult result) {
    if (result instanceof ReadResult.Found found) {
      handleFound(found.entry());
    } else if (result instanceof ReadResult.Absent absent) {
      leader = null;
      watchedRevision = Math.max(watchedRevision, absent.revision());
      enter(State.CAMPAIGNING, 0);
    } else {
      enter(State.READING, READ_RETRY_MS);
    }
  }

  private void handleFound(Entry entry) {
    watchedRevision = entry.revision().value();
    recordLeader(LeaderNameCodec.readLeader(entry.value()), entry.revision());
    boolean ownName = context.config().label().equals(leader);
    if (!ownName || entry.grantId() <= 0) {
      enter(State.WATCHING, 0);
      return;
    }
    // The leader's key carries this controller's name but belongs to another process, so an earlier
    // process
    // of this controller has ended: its grant is revoked instead of waiting until it expires. Late
    // writes of that process fail, since the key's revision changes.
    grants.revoke(
        entry.grantId(),
        ended -> enter(ended ? State.CAMPAIGNING : State.READING, OWN_GRANT_REVOKED_PAUSE_MS));
  }

  private void recordLeader(Optional<ControllerName> name, Revision revision) {
    leader = name.orElse(null);
    term = revision;
  }

  // ---- watching --------------------------------------------------------------------------------

  private void watch() {
    callPending = true;
    context.store().watch(KEY, watchedRevision, WATCH_HOLD_MS, this::handleWatch);
  }

  private void handleWatch(WatchResult result) {
    if (result instanceof WatchResult.Changes changes) {
      handleChanges(changes);
    } else {
      boolean compacted = result instanceof WatchResult.Compacted;
      enter(compacted ? State.READING : State.WATCHING, WATCH_RETRY_MS);
    }
  }

  private void handleChanges(WatchResult.Changes changes) {
    watchedRevision = Math.max(watchedRevision, changes.revision());
    boolean vacant = false;
    for (Change change : changes.changes()) {
      if (supported != null && changesGrantKeyOrLevel(change)) {
        enter(State.READING, 0);
        return;
      }
      if (!change.key().equals(key())) {
        continue;
      }
      vacant = change.value() == null;
      if (vacant) {
        leader = null;
      } else {
        recordLeader(LeaderNameCodec.readLeader(change.value()), change.revision());
      }
    }
    if (vacant) {
      enter(State.CAMPAIGNING, CAMPAIGN_DELAY_MS);
    } else {
      enter(State.WATCHING, 0);
    }
  }

  /**
   * Reports whether a change attaches the grant to another key or brings another level into force.
   */
  private boolean changesGrantKeyOrLevel(Change change) {
    if (!change.key().equals(KEY) || change.value() == null) {
      return false;
    }
    boolean moved = LeaderNameCodec.isMovedTo(change.value(), PROTECTED_KEY);
    return moved ? !change.revision().equals(leaderKeyRevision) : isProtected();
  }

  // ---- campaigning -----------------------------------------------------------------------------

  private void campaign() {
    if (isProtected() && !supported.supports(level)) {
      context.reportError(
          "leader.unfit",
          "leader.unfit level=" + level + " supported=\"" + supported + "\" reason=unsupported");
      enter(State.READING, UNSUPPORTED_LEVEL_PAUSE_MS);
      return;
    }
    callPending = true;
    MonotonicTime sent = context.now();
    grants.create(
        context.settings().leaderTtlMs(),
        created -> {
          if (created.isPresent()) {
            takeKey(created.getAsLong(), sent);
          } else {
            enter(State.READING, GRANT_RETRY_MS);
          }
        });
  }

  private void takeKey(long newGrant, MonotonicTime grantSent) {
    Transaction transaction = new Transaction().guard(key(), Revision.ABSENT);
    if (isProtected()) {
      transaction.guard(KEY, leaderKeyRevision);
      writeMovedName(transaction, level);
    }
    writeName(transaction, key(), newGrant);
    context
        .store()
        .commit(
            transaction,
            CALL_TIMEOUT_MS,
            result -> handleCampaignResult(newGrant, grantSent, result));
  }

  private void handleCampaignResult(long newGrant, MonotonicTime grantSent, CommitResult result) {
    if (!(result instanceof Committed committed)) {
      // The commit was refused or got no answer. If it is carried out late, its grant must no
      // longer exist, or the leader's key would name a process that does not consider itself
      // leader.
      grants.revoke(newGrant, ended -> enter(State.READING, LOST_CAMPAIGN_PAUSE_MS));
      return;
    }
    callPending = false;
    state = State.LEADING;
    grant = newGrant;
    leader = context.config().label();
    term = committed.revision();
    leaderKeyRevision = term;
    watchedRevision = term.value();
    validUntil = validUntil(grantSent);
    renewAt = context.now().plus(context.settings().leaderTtlMs() / RENEWALS_PER_TTL);
    context.info("leader.elected term=%s", term);
    context.gauge("leader.term", term.value());
    context.count("leader.elected");
  }

  /** Adds a write of this process's name to a key that is attached to its grant. */
  private void writeName(Transaction transaction, String key, long grantId) {
    transaction.write(
        key, LeaderNameCodec.write(context.config().label(), context.writer()), grantId);
  }

  /**
   * Adds a write to {@link #KEY} which says that this process leads through {@link #PROTECTED_KEY}.
   *
   * @param at the feature level in force
   */
  private void writeMovedName(Transaction transaction, FeatureLevel at) {
    transaction.write(
        KEY,
        LeaderNameCodec.writeMoved(context.config().label(), context.writer(), PROTECTED_KEY, at));
  }

  // ---- leading ---------------------------------------------------------------------------------

  private MonotonicTime validUntil(MonotonicTime grantSent) {
    long ttlMs = context.settings().leaderTtlMs();
    return grantSent.plus(ttlMs - ttlMs / CLOCK_DRIFT_DIVISOR - VALIDITY_MARGIN_MS);
  }

  private void renew() {
    MonotonicTime sent = context.now();
    long renewed = grant;
    renewAt = sent.plus(context.settings().leaderTtlMs() / RENEWALS_PER_TTL);
    grants.renew(
        renewed,
        renewal -> {
          if (state == State.LEADING && grant == renewed) {
            handleRenewal(renewal, sent);
          }
        });
  }

  private void handleRenewal(Renewal renewal, MonotonicTime sent) {
    switch (renewal) {
      case RENEWED -> {
        MonotonicTime until = validUntil(sent);
        if (validUntil.isBefore(until)) {
          validUntil = until;
        }
      }
      case ENDED -> {
        context.info("leader.term.ended term=%s", term);
        context.gauge("leader.term", 0);
        context.count("leader.lost");
        leader = null;
        validUntil = MonotonicTime.NEVER;
        grant = NO_GRANT;
        enter(State.READING, TERM_ENDED_PAUSE_MS);
      }
      case UNKNOWN ->
          // During an outage of the state service no grant expires, so the term may still be valid.
          renewAt = context.now().plus(RENEW_RETRY_MS);
    }
  }

  // ---- feature levels --------------------------------------------------------------------------

  @Override
  public void addLevelSwitch(Transaction transaction, FeatureLevel to) {
    if (isProtected()) {
      transaction.guard(KEY, leaderKeyRevision);
    }
    if (!isProtected(to)) {
      writeName(transaction, KEY, grant);
      transaction.delete(PROTECTED_KEY);
      return;
    }
    writeMovedName(transaction, to);
    if (!isProtected()) {
      writeName(transaction, PROTECTED_KEY, grant);
    }
  }

  @Override
  public void onLevelSwitched(FeatureLevel to, Revision revision) {
    boolean otherKey = isProtected() != isProtected(to);
    level = to;
    leaderKeyRevision = revision;
    if (otherKey) {
      term = revision;
      context.info("leader.key.moved term=%s level=%s key=%s", term, level, key());
    }
  }
}
