package shorecrank.coordination.model;

import static shorecrank.protocol.HttpStatus.OK;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import shorecrank.config.NodeConfig;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CancellationCodec;
import shorecrank.protocol.CancellationMessages;
import shorecrank.protocol.CancellationMessages.ConfirmedCancellations;
import shorecrank.protocol.HeartbeatMessages.OwnerInfo;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.PeerPaths;

/**
 * Which cancellations users have been told of, and up to what moment all of them are known here.
 *
 * <p>A worker's lease must not be renewed by one who may have missed a cancellation for long: the
 * lease is what ends the tasks where no command does. What the state service shows counts first.
 * While it shows nothing, the other controllers can say which cancellations they have confirmed
 * since; one that is not heard, or that has begun anew since, says nothing.
 */
public final class CancellationLog {
  private static final int CALL_TIMEOUT_MS = 900;
  private static final int CALL_INTERVAL_MS = 1000;

  /** A watch shows something every two seconds; after this the other controllers are asked. */
  private static final int BLIND_MS = 3000;

  /** At least so many confirmations are kept, and as many as can be made in {@link #KEPT_S}. */
  private static final int LEAST_KEPT = 10_000;

  /** An owner that is without the state service for longer does not renew leases anyway. */
  private static final int KEPT_S = 120;

  /** Another controller is asked for this much more than is not known. */
  private static final int OVERLAP_MS = 2000;

  /** Seconds beyond the evidence's age for which an answer may name confirmations. */
  private static final int OVERLAP_S = 2;

  /** Steady clocks of two machines may drift apart by 0.05%; twice that is allowed for. */
  private static final double DRIFT = 0.001;

  /** What clocks that count in milliseconds may leave out. */
  private static final int ROUNDING_MS = 20;

  private static final double MS_PER_S = 1000.0;

  /** A span within which a controller has told all that it confirmed, by this process's clock. */
  private record Span(MonotonicTime from, MonotonicTime to) {}

  /** What another controller has told. */
  private static final class Peer {
    private Span last;

    /** The span before the last, if the two don't meet. */
    private Span previous;

    private boolean asking;
    private MonotonicTime askAt = new MonotonicTime(0);

    void add(Span span) {
      if (span.to.isBefore(span.from)) {
        return;
      }
      if (last == null || last.to.isBefore(span.from)) {
        // It has begun anew: what its predecessor confirmed last is not known.
        previous = last;
        last = span;
      } else {
        last = new Span(last.from.isBefore(span.from) ? last.from : span.from, span.to);
      }
    }

    /** Up to when all that it confirmed is known, if all is known up to a time. */
    MonotonicTime horizon(MonotonicTime known) {
      return extend(extend(known, previous, known), last, known);
    }

    private static MonotonicTime extend(MonotonicTime horizon, Span span, MonotonicTime known) {
      boolean reaches = span != null && !known.isBefore(span.from) && horizon.isBefore(span.to);
      return reaches ? span.to : horizon;
    }
  }

  private final StepContext context;
  private final Map<ControllerName, Peer> peers = new LinkedHashMap<>();
  private final Consumer<JobId> jobListener;
  private final Consumer<OwnerInfo> ownerListener;
  private final ConfirmationHistory history;

  /** Jobs known to be cancelled, whoever told it. */
  private final Cache<JobId, Boolean> known;

  /** So many jobs an answer of another controller may name: all within the evidence's age. */
  private final int mostAsked;

  /**
   * @param jobListener takes each job that a controller has confirmed as cancelled
   * @param ownerListener takes the owners that another controller knows of
   */
  public CancellationLog(
      StepContext context, Consumer<JobId> jobListener, Consumer<OwnerInfo> ownerListener) {
    this.context = context;
    this.jobListener = jobListener;
    this.ownerListener = ownerListener;
    // Each confirmation is a change in the state service, which takes so many a second.
    double changesPerS = context.config().state().writeRps();
    int mostKept = (int) Math.max(LEAST_KEPT, changesPerS * KEPT_S);
    double evidenceS = context.maxCancellationStalenessMs() / MS_PER_S + OVERLAP_S;
    this.mostAsked =
        (int) Math.max(CancellationMessages.DEFAULT_MAX_CANCELLATIONS, changesPerS * evidenceS);
    this.history = new ConfirmationHistory(mostKept);
    this.known = Caffeine.newBuilder().maximumSize(mostKept).executor(Runnable::run).build();
    for (NodeConfig.Member member : context.config().members()) {
      peers.put(member.label(), new Peer());
    }
  }

  /** Whether the job is known to be cancelled. */
  public boolean isKnown(JobId id) {
    return known.getIfPresent(id) != null;
  }

  /** A committed mark of a cancellation was seen. */
  public void recordCancelled(JobId id) {
    known.put(id, true);
  }

  /** A user is being told that the job is cancelled. */
  public void recordConfirmed(JobId id) {
    if (history.add(id, context.now())) {
      learnConfirmed(id);
    }
  }

  /** A user was told that the job is cancelled, here or by another controller. */
  private void learnConfirmed(JobId id) {
    if (!isKnown(id)) {
      recordCancelled(id);
      jobListener.accept(id);
    }
  }

  /**
   * The moment up to which all confirmed cancellations are known here.
   *
   * @param knownUpTo up to when the state service has shown them; NEVER if it has not
   */
  public MonotonicTime knownUpTo(MonotonicTime knownUpTo) {
    if (knownUpTo == MonotonicTime.NEVER) {
      return knownUpTo;
    }
    MonotonicTime all = context.now();
    for (Peer peer : peers.values()) {
      MonotonicTime ofPeer = peer.horizon(knownUpTo);
      all = ofPeer.isBefore(all) ? ofPeer : all;
    }
    return all;
  }

  // ---- other controllers -----------------------------------------------------------------------

  /**
   * Asks the other controllers if the state service shows nothing; once a round.
   *
   * @param blindSince up to when the owner here that knows least knows all cancellations; NEVER if
   *     there is none
   */
  public void tick(MonotonicTime blindSince) {
    MonotonicTime now = context.now();
    history.tick(now);
    boolean blind = blindSince != MonotonicTime.NEVER && now.since(blindSince) > BLIND_MS;
    peers.forEach(
        (name, peer) -> {
          if (blind && !peer.asking && !now.isBefore(peer.askAt)) {
            ask(name, peer, blindSince);
          }
        });
  }

  private void ask(ControllerName name, Peer peer, MonotonicTime since) {
    peer.asking = true;
    MonotonicTime sent = context.now();
    peer.askAt = sent.plus(CALL_INTERVAL_MS);
    context.count("cancellations.asked");
    context.callPeer(
        name,
        PeerPaths.CONFIRMED_CANCELLATIONS,
        CancellationCodec.writeQuery(sent.since(since) + OVERLAP_MS, mostAsked),
        CALL_TIMEOUT_MS,
        (status, body) -> {
          peer.asking = false;
          if (status != OK) {
            return;
          }
          ConfirmedCancellations confirmed = CancellationCodec.read(body, mostAsked).orElse(null);
          if (confirmed == null) {
            context.reportRefusal(
                "peer.malformed", "peer.message.malformed kind=confirmations controller=" + name);
          } else {
            answered(peer, confirmed, sent);
          }
        });
  }

  private void answered(Peer peer, ConfirmedCancellations confirmed, MonotonicTime sent) {
    confirmed.ids().forEach(this::learnConfirmed);
    confirmed.owners().forEach(ownerListener);
    // What it says holds up to some moment after the question, and back from the answer at the
    // most.
    long spanMs = (long) (confirmed.spanMs() * (1 - DRIFT));
    peer.add(new Span(context.now().plus(-spanMs + ROUNDING_MS), sent));
  }

  /**
   * What was confirmed here in so many milliseconds, for another controller. It asks because it
   * does not reach the state service, so it is also told who owns what.
   */
  public ConfirmedCancellations recentlyConfirmed(
      long withinMs, int most, Collection<OwnerInfo> owners) {
    ConfirmationHistory.Recent recent = history.recent(withinMs, most, context.now());
    return new ConfirmedCancellations(recent.spanMs(), recent.jobs(), List.copyOf(owners));
  }
}
