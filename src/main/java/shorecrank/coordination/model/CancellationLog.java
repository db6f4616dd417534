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
 * The cancellations that controllers have confirmed to users, and the time up to which this
 * controller knows all of them.
 *
 * <p>A shard owner that may have missed a cancellation for too long must not renew workers' leases:
 * the expiry of the lease is what ends a cancelled task that no command stops. Normally an owner
 * sees cancellations in the state service. While the state service is unreachable, this class
 * queries the other controllers for the cancellations that they have confirmed in the meantime. A
 * controller that does not answer, or that has restarted in the meantime, leaves a gap, and the
 * time up to which all cancellations are known stays before that gap.
 */
public final class CancellationLog {
  private static final int QUERY_TIMEOUT_MS = 900;
  private static final int QUERY_INTERVAL_MS = 1000;

  /**
   * The other controllers are queried once the state service has shown nothing for this long. A
   * working watch shows something every two seconds.
   */
  private static final int WATCH_SILENCE_MS = 3000;

  /** Lower bound on the number of confirmations to keep. */
  private static final int MIN_HISTORY_SIZE = 10_000;

  /**
   * The history has room for the confirmations of this many seconds at the full write rate. A shard
   * owner cut off from the state service for longer renews no leases, so it needs no older ones.
   */
  private static final int HISTORY_S = 120;

  /** A query reaches back this much further than the time up to which cancellations are known. */
  private static final int QUERY_OVERLAP_MS = 2000;

  /**
   * The number of seconds added to {@link StepContext#maxCancellationStalenessMs()}: an answer may
   * name as many cancellations as can be confirmed in the sum of these times.
   */
  private static final int ANSWER_OVERLAP_S = 2;

  /** Monotonic clocks of two machines may drift apart by 0.05%; twice that is allowed for. */
  private static final double CLOCK_DRIFT = 0.001;

  /** Allowance for clocks that count in whole milliseconds. */
  private static final int CLOCK_ROUNDING_MS = 20;

  private static final double MS_PER_S = 1000.0;

  /** An interval of this process's clock for which all confirmations of a controller are known. */
  private record Interval(MonotonicTime from, MonotonicTime to) {}

  /** The intervals for which another controller's confirmations are known. */
  private static final class Peer {
    private Interval last;

    /** The interval before {@link #last}, if there is a gap between the two. */
    private Interval previous;

    private boolean queryInFlight;
    private MonotonicTime nextQueryAt = new MonotonicTime(0);

    void add(Interval interval) {
      if (interval.to.isBefore(interval.from)) {
        return;
      }
      if (last == null || last.to.isBefore(interval.from)) {
        // A gap: after a restart, a controller does not know what it confirmed before.
        previous = last;
        last = interval;
      } else {
        last =
            new Interval(
                last.from.isBefore(interval.from) ? last.from : interval.from, interval.to);
      }
    }

    /**
     * Returns the time up to which all confirmations of this controller are known.
     *
     * @param shownUpTo the time up to which the state service has shown all cancellations
     */
    MonotonicTime completeUpTo(MonotonicTime shownUpTo) {
      return extend(extend(shownUpTo, previous, shownUpTo), last, shownUpTo);
    }

    private static MonotonicTime extend(
        MonotonicTime complete, Interval interval, MonotonicTime shownUpTo) {
      boolean extendsIt =
          interval != null && !shownUpTo.isBefore(interval.from) && complete.isBefore(interval.to);
      return extendsIt ? interval.to : complete;
    }
  }

  private final StepContext context;
  private final Map<ControllerName, Peer> peers = new LinkedHashMap<>();
  private final Consumer<JobId> jobListener;
  private final Consumer<OwnerInfo> ownerListener;
  private final ConfirmationHistory history;

  /** Jobs known to be cancelled, from the state service, a user's request or another controller. */
  private final Cache<JobId, Boolean> cancelledJobs;

  /**
   * The maximum number of jobs that an answer of another controller may name: as many as can be
   * confirmed within {@link StepContext#maxCancellationStalenessMs()} plus {@link
   * #ANSWER_OVERLAP_S}.
   */
  private final int maxJobsPerAnswer;

  /**
   * @param jobListener receives each job whose cancellation a controller has confirmed and that was
   *     not known to be cancelled before
   * @param ownerListener receives the shard owners that another controller names in its answer
   */
  public CancellationLog(
      StepContext context, Consumer<JobId> jobListener, Consumer<OwnerInfo> ownerListener) {
    this.context = context;
    this.jobListener = jobListener;
    this.ownerListener = ownerListener;
    // Each confirmation needs a write, so the write rate of the state service bounds them.
    double writesPerS = context.config().state().writeRps();
    int historySize = (int) Math.max(MIN_HISTORY_SIZE, writesPerS * HISTORY_S);
    double answerSpanS = context.maxCancellationStalenessMs() / MS_PER_S + ANSWER_OVERLAP_S;
    this.maxJobsPerAnswer =
        (int) Math.max(CancellationMessages.DEFAULT_MAX_CANCELLATIONS, writesPerS * answerSpanS);
    this.history = new ConfirmationHistory(historySize);
    this.cancelledJobs =
        Caffeine.newBuilder().maximumSize(historySize).executor(Runnable::run).build();
    for (NodeConfig.Member member : context.config().members()) {
      peers.put(member.label(), new Peer());
    }
  }

  /** Reports whether the job is known to be cancelled. */
  public boolean isCancelled(JobId id) {
    return cancelledJobs.getIfPresent(id) != null;
  }

  /** Records a job whose cancellation is committed in the state service. */
  public void recordCancelled(JobId id) {
    cancelledJobs.put(id, true);
  }

  /** Records that this controller confirms the cancellation of a job to a user. */
  public void recordConfirmed(JobId id) {
    if (history.add(id, context.now())) {
      cancelAndNotify(id);
    }
  }

  /** Records a job as cancelled, and passes it to the listener if it was not known before. */
  private void cancelAndNotify(JobId id) {
    if (!isCancelled(id)) {
      recordCancelled(id);
      jobListener.accept(id);
    }
  }

  /**
   * Returns the time up to which all confirmed cancellations are known to this controller.
   *
   * @param shownUpTo the time up to which the state service has shown all cancellations; {@link
   *     MonotonicTime#NEVER} if it has shown none
   */
  public MonotonicTime knownUpTo(MonotonicTime shownUpTo) {
    if (shownUpTo == MonotonicTime.NEVER) {
      return shownUpTo;
    }
    MonotonicTime earliest = context.now();
    for (Peer peer : peers.values()) {
      MonotonicTime complete = peer.completeUpTo(shownUpTo);
      earliest = complete.isBefore(earliest) ? complete : earliest;
    }
    return earliest;
  }

  // ---- other controllers -----------------------------------------------------------------------

  /**
   * Queries the other controllers if the state service has shown nothing for {@link
   * #WATCH_SILENCE_MS}. Called on every tick of the controller.
   *
   * @param shownUpTo the time up to which the state service has shown all cancellations to every
   *     shard owner of this process; {@link MonotonicTime#NEVER} if the process owns no shard
   */
  public void tick(MonotonicTime shownUpTo) {
    MonotonicTime now = context.now();
    history.tick(now);
    boolean isWatchSilent =
        shownUpTo != MonotonicTime.NEVER && now.since(shownUpTo) > WATCH_SILENCE_MS;
    peers.forEach(
        (name, peer) -> {
          if (isWatchSilent && !peer.queryInFlight && !now.isBefore(peer.nextQueryAt)) {
            query(name, peer, shownUpTo);
          }
        });
  }

  private void query(ControllerName name, Peer peer, MonotonicTime since) {
    peer.queryInFlight = true;
    MonotonicTime sent = context.now();
    peer.nextQueryAt = sent.plus(QUERY_INTERVAL_MS);
    context.count("cancellations.asked");
    context.callPeer(
        name,
        PeerPaths.CONFIRMED_CANCELLATIONS,
        CancellationCodec.writeQuery(sent.since(since) + QUERY_OVERLAP_MS, maxJobsPerAnswer),
        QUERY_TIMEOUT_MS,
        (status, body) -> {
          peer.queryInFlight = false;
          if (status != OK) {
            return;
          }
          ConfirmedCancellations confirmed =
              CancellationCodec.read(body, maxJobsPerAnswer).orElse(null);
          if (confirmed == null) {
            context.reportError(
                "peer.malformed", "peer.message.malformed kind=confirmations controller=" + name);
          } else {
            recordAnswer(peer, confirmed, sent);
          }
        });
  }

  private void recordAnswer(Peer peer, ConfirmedCancellations confirmed, MonotonicTime sent) {
    confirmed.ids().forEach(this::cancelAndNotify);
    confirmed.owners().forEach(ownerListener);
    // The controller wrote its answer at an unknown time between the sending of the query and now,
    // and reaches back spanMs from there. The interval that it covers in any case is shorter.
    long spanMs = (long) (confirmed.spanMs() * (1 - CLOCK_DRIFT));
    peer.add(new Interval(context.now().plus(-spanMs + CLOCK_ROUNDING_MS), sent));
  }

  /**
   * Returns the cancellations that this controller has confirmed lately, as the answer to another
   * controller. That controller queries because it does not reach the state service, so the answer
   * also names the shard owners.
   *
   * @param withinMs the maximum age of a confirmation, in milliseconds
   * @param maxJobs the maximum number of cancelled jobs to name
   * @param owners the shard owners that this controller knows
   */
  public ConfirmedCancellations recentlyConfirmed(
      long withinMs, int maxJobs, Collection<OwnerInfo> owners) {
    ConfirmationHistory.Recent recent = history.recent(withinMs, maxJobs, context.now());
    return new ConfirmedCancellations(recent.spanMs(), recent.jobs(), List.copyOf(owners));
  }
}
