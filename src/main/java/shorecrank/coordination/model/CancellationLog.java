package shorecrank.coordination.model;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import shorecrank.config.NodeConfig;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.PeerMessages;
import shorecrank.protocol.PeerMessages.ConfirmedCancellations;
import shorecrank.protocol.PeerMessages.OwnerInfo;

/**
 * Which cancellations users have been told of, and up to what moment all of them are known here.
 *
 * <p>A worker's lease must not be renewed by one who may have missed a cancellation for long: the
 * lease is what ends the tasks where no command does. What the state service shows counts first.
 * While it shows nothing, the other controllers can say which cancellations they have confirmed
 * since; one that is not heard, or that has begun anew since, says nothing.
 */
public final class CancellationLog {
  private static final int CALL_MS = 900;
  private static final int PULL_MS = 1000;

  /** A watch shows something every two seconds; after this the others are asked. */
  private static final int BLIND_MS = 3000;

  /** So long the own confirmations are kept to be told; a grace is never that long. */
  private static final int KEEP_MS = 900_000;

  /** At least so many are kept, and as many as can be confirmed in {@link #KEPT_S}. */
  private static final int MIN_KEPT = 10_000;

  /** An owner that is without the state service for longer does not renew leases anyway. */
  private static final int KEPT_S = 120;

  /** Steady clocks of two machines may drift apart by 0.05%. */
  private static final double DRIFT = 0.001;

  /** A span within which a controller has told all that it confirmed, by our clock. */
  private record Span(MonotonicTime from, MonotonicTime to) {}

  private static final class Member {
    /** The latest span, and the one before it where they don't meet. */
    Span last;

    Span before;
    boolean asking;
    MonotonicTime askAt = new MonotonicTime(0);
  }

  private final StepContext context;
  private final Map<ControllerName, Member> members = new LinkedHashMap<>();
  private final Consumer<JobId> learned;
  private final Consumer<OwnerInfo> ownerSeen;

  /** What this controller has confirmed itself, and when first. */
  private final Map<JobId, MonotonicTime> own = new LinkedHashMap<>();

  /** From when on {@link #own} is complete: this process's start, or what was dropped for room. */
  private MonotonicTime ownFrom = MonotonicTime.NEVER;

  /** Jobs known to be cancelled, whoever told it. */
  private final Cache<JobId, Boolean> known;

  /** Each confirmation is a change in the state service, which takes so many a second. */
  private final int mostKept;

  /** So many jobs an answer of another controller may name: all within the evidence's age. */
  private final int mostAsked;

  /**
   * @param learned takes each job that another controller reports as cancelled
   * @param ownerSeen takes the owners that another controller knows of
   */
  public CancellationLog(
      StepContext context, Consumer<JobId> learned, Consumer<OwnerInfo> ownerSeen) {
    this.context = context;
    this.learned = learned;
    this.ownerSeen = ownerSeen;
    double changesPerS = context.config.state().writeRps();
    this.mostKept = (int) Math.max(MIN_KEPT, changesPerS * KEPT_S);
    this.mostAsked =
        (int)
            Math.max(
                PeerMessages.DEFAULT_CONFIRMED, changesPerS * (context.evidenceMs() / 1000.0 + 2));
    this.known = Caffeine.newBuilder().maximumSize(mostKept).executor(Runnable::run).build();
    for (NodeConfig.Member m : context.config.members()) {
      members.put(m.label(), new Member());
    }
  }

  public boolean known(JobId id) {
    return known.getIfPresent(id) != null;
  }

  /** A committed mark was seen. */
  public void learn(JobId id) {
    known.put(id, true);
  }

  /** A user is being told that the job is cancelled. */
  public void confirmed(JobId id) {
    if (own.putIfAbsent(id, context.now()) != null) {
      return;
    }
    if (own.size() > mostKept) {
      dropOldest();
    }
    told(id);
  }

  private void dropOldest() {
    var first = own.entrySet().iterator();
    ownFrom = first.next().getValue();
    first.remove();
  }

  /**
   * The moment up to which all confirmed cancellations are known here.
   *
   * @param storeAsOf up to when the state service has shown them; NEVER if it has not
   */
  public MonotonicTime horizon(MonotonicTime storeAsOf) {
    if (storeAsOf == MonotonicTime.NEVER) {
      return storeAsOf;
    }
    MonotonicTime all = context.now();
    for (Member m : members.values()) {
      MonotonicTime one = storeAsOf;
      one = later(one, m.before, storeAsOf);
      one = later(one, m.last, storeAsOf);
      all = one.before(all) ? one : all;
    }
    return all;
  }

  private static MonotonicTime later(MonotonicTime one, Span s, MonotonicTime from) {
    return s != null && !from.before(s.from) && one.before(s.to) ? s.to : one;
  }

  /** Once a round; {@code blindSince} is what the owner here that knows least knows. */
  public void tick(MonotonicTime blindSince) {
    MonotonicTime now = context.now();
    if (ownFrom == MonotonicTime.NEVER) {
      ownFrom = now;
    }
    while (!own.isEmpty() && now.since(own.values().iterator().next()) > KEEP_MS) {
      dropOldest();
    }
    boolean blind = blindSince != MonotonicTime.NEVER && now.since(blindSince) > BLIND_MS;
    members.forEach(
        (label, m) -> {
          if (blind && !m.asking && !now.before(m.askAt)) {
            pull(label, m, blindSince);
          }
        });
  }

  private void pull(ControllerName label, Member m, MonotonicTime since) {
    m.asking = true;
    MonotonicTime sent = context.now();
    m.askAt = sent.plus(PULL_MS);
    context.count("cancellations.asked");
    context.peer(
        label,
        PeerMessages.CONFIRMED,
        PeerMessages.confirmedWithin(sent.since(since) + 2000, mostAsked),
        CALL_MS,
        (status, body) -> {
          m.asking = false;
          ConfirmedCancellations c =
              status == 200 ? PeerMessages.readConfirmed(body, mostAsked) : null;
          if (c == null) {
            if (status == 200) {
              context.refused("peer.malformed", "malformed cancellations of " + label + " refused");
            }
            return;
          }
          c.ids().forEach(this::told);
          c.owners().forEach(ownerSeen);
          // What it says holds up to some moment after the question, and back from the answer at
          // the most.
          MonotonicTime from = context.now().plus(-(long) (c.spanMs() * (1 - DRIFT)) + 20);
          heard(m, new Span(from, sent));
        });
  }

  private void heard(Member m, Span s) {
    if (s.to.before(s.from)) {
      return;
    }
    if (m.last == null || m.last.to.before(s.from)) {
      // It has begun anew: what its predecessor confirmed last is not known.
      m.before = m.last;
      m.last = s;
    } else {
      m.last = new Span(m.last.from.before(s.from) ? m.last.from : s.from, s.to);
    }
  }

  /** Another controller has told a user that the job is cancelled. */
  private void told(JobId id) {
    if (!known(id)) {
      learn(id);
      learned.accept(id);
    }
  }

  /**
   * What was confirmed here in so many milliseconds, for another controller. It asks because it
   * does not reach the state service, so it is also told who owns what.
   */
  public ConfirmedCancellations answer(long within, int most, Collection<OwnerInfo> owners) {
    MonotonicTime now = context.now();
    long span = Math.min(within, ownFrom == MonotonicTime.NEVER ? 0 : now.since(ownFrom));
    List<JobId> ids = new ArrayList<>();
    List<Map.Entry<JobId, MonotonicTime>> all =
        new ArrayList<>(within > 0 ? own.entrySet() : List.of());
    for (int i = all.size() - 1; i >= 0 && now.since(all.get(i).getValue()) <= span; i--) {
      if (ids.size() == most) {
        span = now.since(all.get(i).getValue());
        break;
      }
      ids.add(all.get(i).getKey());
    }
    return new ConfirmedCancellations(span, ids, List.copyOf(owners));
  }
}
