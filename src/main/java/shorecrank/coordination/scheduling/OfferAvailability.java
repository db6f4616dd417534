package shorecrank.coordination.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.HeartbeatMessages.UnavailableOffer;
import shorecrank.protocol.Ids.MonotonicTime;

/** Which offers the cloud has refused lately for lack of capacity, as the leader tells. */
final class OfferAvailability {
  /** For so long after a refusal an offer is most likely still used up, in milliseconds. */
  private static final long SCARCE_MS = 60_000;

  private final Map<Offer, MonotonicTime> unavailableUntil = new HashMap<>();
  private final Map<Offer, MonotonicTime> lastUnavailable = new HashMap<>();

  /** Takes over the offers that are not to be asked for now; those told before no longer count. */
  void update(List<UnavailableOffer> unavailable, MonotonicTime now) {
    unavailableUntil.clear();
    for (UnavailableOffer entry : unavailable) {
      unavailableUntil.put(entry.offer(), now.plus(entry.retryAfterMs()));
      lastUnavailable.put(entry.offer(), now);
    }
  }

  /** Whether the offer may be asked for. */
  boolean isAvailable(Offer offer, MonotonicTime now) {
    MonotonicTime until = unavailableUntil.get(offer);
    return until == null || !now.isBefore(until);
  }

  /** Whether the offer was refused lately, so that not many machines of it should be counted on. */
  boolean isScarce(Offer offer, MonotonicTime now) {
    return now.since(lastUnavailable.getOrDefault(offer, MonotonicTime.NEVER)) < SCARCE_MS;
  }
}
