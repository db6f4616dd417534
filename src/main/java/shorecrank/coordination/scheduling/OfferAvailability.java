package shorecrank.coordination.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.HeartbeatMessages.UnavailableOffer;
import shorecrank.protocol.Ids.MonotonicTime;

/**
 * Tracks the offers that the cloud has refused for lack of capacity, as the leader reports them.
 */
final class OfferAvailability {
  /** How long an offer counts as scarce after it was last reported, in milliseconds. */
  private static final long SCARCE_MS = 60_000;

  private final Map<Offer, MonotonicTime> unavailableUntil = new HashMap<>();
  private final Map<Offer, MonotonicTime> lastUnavailable = new HashMap<>();

  /** Replaces the offers that must not be requested now. */
  void update(List<UnavailableOffer> unavailable, MonotonicTime now) {
    unavailableUntil.clear();
    for (UnavailableOffer entry : unavailable) {
      unavailableUntil.put(entry.offer(), now.plus(entry.retryAfterMs()));
      lastUnavailable.put(entry.offer(), now);
    }
  }

  /** Reports whether the offer may be requested. */
  boolean isAvailable(Offer offer, MonotonicTime now) {
    MonotonicTime until = unavailableUntil.get(offer);
    return until == null || !now.isBefore(until);
  }

  /** Reports whether the offer was refused recently, so that it probably has few machines left. */
  boolean isScarce(Offer offer, MonotonicTime now) {
    return now.since(lastUnavailable.getOrDefault(offer, MonotonicTime.NEVER)) < SCARCE_MS;
  }
}
