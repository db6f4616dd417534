package shorecrank.coordination.leader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.HeartbeatMessages.UnavailableOffer;
import shorecrank.protocol.Ids.MonotonicTime;

/** Kinds of machines that the cloud lately had no capacity for, with an exponential backoff. */
final class UnavailableOffers {
  /** A kind that was refused is asked for again after so long, then twice that, up to the most. */
  private static final long BACKOFF_MS = 4_000;

  private static final long MAX_BACKOFF_MS = 10_000;
  private static final int MAX_DOUBLINGS = 4;

  private final StepContext context;
  private final Map<Offer, MonotonicTime> unavailableUntil = new LinkedHashMap<>();
  private final Map<Offer, Integer> refusals = new HashMap<>();

  UnavailableOffers(StepContext context) {
    this.context = context;
  }

  /**
   * A term has begun: every kind may be asked for, though the backoffs go on from where they are.
   */
  void beginTerm() {
    unavailableUntil.clear();
  }

  /** Whether the kind is not to be asked for now. */
  boolean contains(Offer offer) {
    MonotonicTime until = unavailableUntil.get(offer);
    return until != null && !until.isBefore(context.now());
  }

  /** The cloud has refused a machine of this kind. */
  void recordRefusal(Offer offer) {
    if (context.now().isBefore(unavailableUntil.getOrDefault(offer, MonotonicTime.NEVER))) {
      return;
    }
    int refusalCount = refusals.merge(offer, 1, Integer::sum);
    long backoffMs =
        Math.min(MAX_BACKOFF_MS, BACKOFF_MS << Math.min(refusalCount - 1, MAX_DOUBLINGS));
    unavailableUntil.put(offer, context.now().plus(backoffMs));
    context.info("offer.unavailable offer=%s retry_ms=%d", offer, backoffMs);
  }

  /** The cloud has rented all machines of this kind that were asked for. */
  void recordSuccess(Offer offer) {
    refusals.remove(offer);
  }

  /** The kinds that are not asked for now, and for how long. */
  List<UnavailableOffer> describe() {
    List<UnavailableOffer> offers = new ArrayList<>();
    unavailableUntil.forEach(
        (offer, until) -> {
          if (context.now().isBefore(until)) {
            offers.add(new UnavailableOffer(offer, until.since(context.now())));
          }
        });
    return offers;
  }
}
