package shorecrank.coordination.leader;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import shorecrank.coordination.step.StepContext;
import shorecrank.leadership.Leadership;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Json;
import shorecrank.protocol.RolloutMessages.FeatureLevel;
import shorecrank.protocol.RolloutMessages.LevelRange;
import shorecrank.protocol.StoreMessages;
import shorecrank.rollout.Feature;

/**
 * Who leads: the process whose key hangs on a living grant. The key's revision is the leader's
 * term; whatever the leader writes is guarded by it.
 */
public final class Election implements Leadership {
  public static final String KEY = "leader";

  /**
   * From the level of {@link Feature#PROTECTED_LEADERSHIP} on the grant hangs on this key, and
   * {@link #KEY} stays for good and only names the leader: a version that knows no levels never
   * finds the leadership vacant.
   */
  static final String PROTECTED_KEY = "leadership";

  private static final String LABEL = "label";
  private static final String WRITER = "writer";
  private static final String MOVED_TO = "moved";
  private static final String LEVEL = "level";

  /** A controller that can't lead at the level in force looks again after so long. */
  private static final int UNFIT_PAUSE_MS = 2000;

  private static final int CALL_MS = 1500;

  private enum Step {
    READ,
    WATCH,
    CAMPAIGN,
    LEAD
  }

  private final StepContext context;
  private Step step = Step.READ;
  private boolean busy;
  private MonotonicTime retryAt = new MonotonicTime(0);
  private long watchFrom;
  private ControllerName leader;
  private Revision term = Revision.ABSENT;
  private long hold = -1;
  private MonotonicTime validUntil = MonotonicTime.NEVER;
  private MonotonicTime renewAt = MonotonicTime.NEVER;

  /** What this build supports; null if rollouts are not enabled here. */
  private final LevelRange supported;

  /** The level that the leader's key names; the lowest while the grant hangs on that key. */
  private FeatureLevel level = FeatureLevel.LOWEST;

  /** The revision of {@link #KEY} while the grant hangs on the other. */
  private Revision namingRevision = Revision.ABSENT;

  public Election(StepContext context, LevelRange supported) {
    this.context = context;
    this.supported = supported;
  }

  private boolean isProtected() {
    return isProtected(level);
  }

  private static boolean isProtected(FeatureLevel level) {
    return level.includes(Feature.PROTECTED_LEADERSHIP.level());
  }

  /** The key on which the leader's grant hangs. */
  public String key() {
    return isProtected() ? PROTECTED_KEY : KEY;
  }

  @Override
  public void guard(StoreMessages.Transaction transaction) {
    transaction.guard(key(), term);
  }

  public ControllerName leader() {
    return leader;
  }

  /** The key is ours as far as we know; the grant may be in doubt. */
  public boolean holding() {
    return step == Step.LEAD;
  }

  /** No other process can lead now, by our own clock. */
  @Override
  public boolean leading() {
    return step == Step.LEAD && context.now().before(validUntil);
  }

  @Override
  public Revision term() {
    return term;
  }

  public void tick() {
    MonotonicTime now = context.now();
    if (step == Step.LEAD) {
      if (!now.before(renewAt)) {
        renew();
      }
      return;
    }
    if (busy || now.before(retryAt)) {
      return;
    }
    switch (step) {
      case READ -> read();
      case WATCH -> watch();
      case CAMPAIGN -> campaign();
      case LEAD -> {}
    }
  }

  private void again(Step s, int afterMs) {
    busy = false;
    step = s;
    retryAt =
        context.now().plus(afterMs == 0 ? 0 : afterMs / 2 + context.random().nextInt(afterMs + 1));
  }

  private void read() {
    busy = true;
    context.state(
        "GET",
        StoreMessages.key(KEY),
        null,
        CALL_MS,
        (status, body) -> {
          if (status == 200) {
            StoreMessages.Entry e = StoreMessages.entry(body);
            if (supported != null && PROTECTED_KEY.equals(Json.text(e.value().path(MOVED_TO)))) {
              namingRevision = e.revision();
              level = new FeatureLevel((int) Math.max(1, Json.count(e.value().path(LEVEL))));
              readProtected();
              return;
            }
            level = FeatureLevel.LOWEST;
            found(e);
          } else if (status == 404) {
            level = FeatureLevel.LOWEST;
            vacant(body);
          } else {
            again(Step.READ, 500);
          }
        });
  }

  private void readProtected() {
    context.state(
        "GET",
        StoreMessages.key(PROTECTED_KEY),
        null,
        CALL_MS,
        (status, body) -> {
          if (status == 200) {
            found(StoreMessages.entry(body));
          } else if (status == 404) {
            vacant(body);
          } else {
            again(Step.READ, 500);
          }
        });
  }

  private void vacant(JsonNode body) {
    leader = null;
    watchFrom = Math.max(watchFrom, StoreMessages.revision(body));
    again(Step.CAMPAIGN, 0);
  }

  private void found(StoreMessages.Entry e) {
    watchFrom = e.revision().value();
    seen(e.value(), e.revision());
    boolean ours = context.config.label().equals(leader);
    if (!ours || e.hold() <= 0) {
      again(Step.WATCH, 0);
      return;
    }
    // The label is ours and the process is not: it has ended, so nobody need wait for its grant.
    // Its late writes are refused, since the key's revision moves on.
    busy = true;
    context.state(
        "DELETE",
        StoreMessages.grant(e.hold()),
        null,
        CALL_MS,
        (status, body) -> again(status == 200 || status == 404 ? Step.CAMPAIGN : Step.READ, 20));
  }

  private void seen(JsonNode value, Revision revision) {
    String label = Json.text(value.path(LABEL));
    leader = label.isEmpty() ? null : new ControllerName(label);
    term = revision;
  }

  private void watch() {
    busy = true;
    int holdMs = 15_000;
    context.state(
        "GET",
        StoreMessages.watch(KEY, watchFrom, holdMs),
        null,
        holdMs + 3000,
        (status, body) -> {
          if (status != 200) {
            again(status == 410 ? Step.READ : Step.WATCH, 400);
            return;
          }
          watchFrom = Math.max(watchFrom, StoreMessages.revision(body));
          boolean vacant = false;
          for (StoreMessages.Change c : StoreMessages.changes(body)) {
            if (supported != null && movesLeadership(c)) {
              again(Step.READ, 0);
              return;
            }
            if (!c.key().equals(key())) {
              continue;
            }
            vacant = c.value() == null;
            if (vacant) {
              leader = null;
            } else {
              seen(c.value(), c.revision());
            }
          }
          if (vacant) {
            again(Step.CAMPAIGN, 60);
          } else {
            again(Step.WATCH, 0);
          }
        });
  }

  /** Whether the leadership is on another key from this change on, or another level in force. */
  private boolean movesLeadership(StoreMessages.Change c) {
    if (!c.key().equals(KEY) || c.value() == null) {
      return false;
    }
    boolean moved = PROTECTED_KEY.equals(Json.text(c.value().path(MOVED_TO)));
    return moved ? !c.revision().equals(namingRevision) : isProtected();
  }

  private void campaign() {
    if (isProtected() && !supported.supports(level)) {
      context.refused(
          "leader.unfit",
          "leader not sought level=" + level + " supported=" + supported + " reason=unsupported");
      again(Step.READ, UNFIT_PAUSE_MS);
      return;
    }
    busy = true;
    MonotonicTime sent = context.now();
    context.state(
        "POST",
        StoreMessages.GRANTS,
        StoreMessages.ttl(context.tuning.leaderTtlMs()),
        CALL_MS,
        (status, body) -> {
          long h = StoreMessages.hold(body);
          if (status != 200 || h < 0) {
            again(Step.READ, 400);
            return;
          }
          take(h, sent);
        });
  }

  private void take(long h, MonotonicTime grantSent) {
    StoreMessages.Transaction transaction =
        new StoreMessages.Transaction().guard(key(), Revision.ABSENT);
    if (isProtected()) {
      transaction
          .guard(KEY, namingRevision)
          .write(KEY, ownName().put(MOVED_TO, PROTECTED_KEY).put(LEVEL, level.value()));
    }
    transaction.write(key(), ownName(), h);
    context.state(
        "POST",
        StoreMessages.MULTI,
        transaction.body(),
        CALL_MS,
        (status, body) -> {
          if (status == 200) {
            busy = false;
            step = Step.LEAD;
            hold = h;
            leader = context.config.label();
            term = new Revision(StoreMessages.revision(body));
            namingRevision = term;
            watchFrom = term.value();
            validUntil = until(grantSent);
            renewAt = context.now().plus(context.tuning.leaderTtlMs() / 4);
            context.info("leading with term %s", term);
            context.count("leader.elected");
            return;
          }
          // Refused, or without an answer: a late write of ours must not find its grant alive.
          context.state(
              "DELETE", StoreMessages.grant(h), null, CALL_MS, (s2, b2) -> again(Step.READ, 300));
        });
  }

  private ObjectNode ownName() {
    return Json.object()
        .put(LABEL, context.config.label().value())
        .put(WRITER, context.writer.value());
  }

  @Override
  public void addLevelSwitch(StoreMessages.Transaction transaction, FeatureLevel to) {
    ObjectNode name = ownName();
    if (isProtected()) {
      transaction.guard(KEY, namingRevision);
    }
    if (!isProtected(to)) {
      transaction.write(KEY, name, hold).drop(PROTECTED_KEY);
      return;
    }
    transaction.write(KEY, name.put(MOVED_TO, PROTECTED_KEY).put(LEVEL, to.value()));
    if (!isProtected()) {
      transaction.write(PROTECTED_KEY, ownName(), hold);
    }
  }

  @Override
  public void levelSwitched(FeatureLevel to, Revision revision) {
    boolean otherKey = isProtected() != isProtected(to);
    level = to;
    namingRevision = revision;
    if (otherKey) {
      term = revision;
      context.info("leader goes on term=%s level=%s key=%s", term, level, key());
    }
  }

  /** Leases run on the service's clock; ours may be fast or slow by 0.05%. */
  private MonotonicTime until(MonotonicTime sent) {
    long ttl = context.tuning.leaderTtlMs();
    return sent.plus(ttl - ttl / 500 - 20);
  }

  private void renew() {
    MonotonicTime sent = context.now();
    long h = hold;
    renewAt = sent.plus(context.tuning.leaderTtlMs() / 4);
    context.state(
        "POST",
        StoreMessages.touch(h),
        Json.object(),
        CALL_MS,
        (status, body) -> {
          if (step != Step.LEAD || hold != h) {
            return;
          }
          if (status == 200) {
            MonotonicTime u = until(sent);
            if (validUntil.before(u)) {
              validUntil = u;
            }
          } else if (status == 404) {
            context.info("term %s ended", term);
            context.count("leader.lost");
            leader = null;
            validUntil = MonotonicTime.NEVER;
            hold = -1;
            again(Step.READ, 50);
          } else {
            // Not known: an outage stops the clock of all grants, so the term may well go on.
            renewAt = context.now().plus(250);
          }
        });
  }
}
