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

/** Offers for which the cloud recently had no capacity, with an exponential backoff. */
final class UnavailableOffers {
  /**
   * The time after an offer's first refusal in which it is not requested; doubled with each further
   * refusal, up to {@link #MAX_BACKOFF_MS}.
   */
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
   * Allows all offers at the start of a term; the number of their refusals, and so the next
   * backoff, stays.
   */
  void beginTerm() {
    unavailableUntil.clear();
  }

  /** Reports whether an offer is not to be requested now. */
  boolean contains(Offer offer) {
    MonotonicTime until = unavailableUntil.get(offer);
    return until != null && !until.isBefore(context.now());
  }

  /** Records that the cloud had no capacity for an offer. */
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

  /** Records that the cloud rented all requested machines of an offer. */
  void recordSuccess(Offer offer) {
    refusals.remove(offer);
  }

  /**
   * Returns the offers that are not requested at the moment, with the time until they are requested
   * again.
   */
  List<UnavailableOffer> current() {
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
