package shorecrank.coordination.leader;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import shorecrank.coordination.leader.CloudClient.RentResult;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.HeartbeatMessages.CapacityRequest;
import shorecrank.protocol.HeartbeatMessages.MachineInfo;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Ids.ShardId;

/**
 * Rents the machines that shard owners request. Each call has an idempotency key, so that it can be
 * repeated without renting more machines.
 */
final class MachineRental {
  /** The maximum number of calls that are pending at the same time. */
  private static final int MAX_PENDING_CLAIMS = 8;

  /**
   * A shard owner's request is cut to the number of machines that the cloud's rate limit allows to
   * be rented within this many seconds.
   */
  private static final int REQUEST_HORIZON_S = 60;

  /**
   * A request to rent machines.
   *
   * @param name the idempotency key, which is never used for another request
   */
  private record Claim(String name, Offer offer, int count, ShardId shard) {}

  private final StepContext context;
  private final LoadedTerm loadedTerm;
  private final CloudClient client;
  private final UnavailableOffers unavailable;
  private final MachineAdmission admission;
  private final ArrayDeque<Claim> waiting = new ArrayDeque<>();

  /** The idempotency keys of requests without an answer, which may have been carried out. */
  private final Set<String> claimsInDoubt = new HashSet<>();

  private int pendingClaims;
  private long claimNumber;

  MachineRental(
      StepContext context,
      LoadedTerm loadedTerm,
      CloudClient client,
      UnavailableOffers unavailable,
      MachineAdmission admission) {
    this.context = context;
    this.loadedTerm = loadedTerm;
    this.client = client;
    this.unavailable = unavailable;
    this.admission = admission;
  }

  /**
   * Drops all requests at the start of a term; machines that the previous leader rented appear in
   * the cloud's machine list.
   */
  void beginTerm() {
    waiting.clear();
    claimsInDoubt.clear();
    pendingClaims = 0;
  }

  /** Reports whether no request is waiting or pending. */
  boolean isIdle() {
    return waiting.isEmpty() && pendingClaims == 0;
  }

  /**
   * Queues the rental of the machines that a shard's owner requests, except for offers that
   * recently had no capacity.
   */
  void request(ShardId shard, List<CapacityRequest> requests) {
    for (CapacityRequest request : requests) {
      if (request.count() <= 0 || unavailable.contains(request.offer())) {
        continue;
      }
      int remaining = Math.min(request.count(), maxRequested());
      while (remaining > 0) {
        int count = Math.min(remaining, CloudMessages.MAX_RENT);
        String name = "sc-" + loadedTerm.current() + "-" + ++claimNumber;
        waiting.add(new Claim(name, request.offer(), count, shard));
        remaining -= count;
      }
    }
  }

  private int maxRequested() {
    double calls = context.config().cloud().rps() * REQUEST_HORIZON_S;
    return (int) Math.max(1, calls) * CloudMessages.MAX_RENT;
  }

  /** Sends the waiting requests, as many as the cloud's rate limit allows. */
  void sendWaiting() {
    while (!waiting.isEmpty() && pendingClaims < MAX_PENDING_CLAIMS && client.tryTake()) {
      sendClaim(waiting.poll());
    }
  }

  private void sendClaim(Claim claim) {
    pendingClaims++;
    Revision term = loadedTerm.current();
    client.rent(
        claim.name(),
        claim.offer(),
        claim.count(),
        result -> {
          if (loadedTerm.isCurrent(term)) {
            pendingClaims--;
            handleResult(claim, result);
          }
        });
  }

  private void handleResult(Claim claim, RentResult result) {
    if (result instanceof RentResult.Rented rented) {
      handleRented(claim, rented.machines());
    } else if (result instanceof RentResult.NoCapacity) {
      suspendOffer(claim.offer());
    } else if (result instanceof RentResult.Malformed) {
      context.error("machine.rent.malformed claim=%s offer=%s", claim.name(), claim.offer());
      suspendOffer(claim.offer());
    } else {
      // The request may have been carried out, so it is repeated under the same idempotency key:
      // another key could rent the machines twice.
      waiting.addFirst(claim);
      claimsInDoubt.add(claim.name());
      client.pause();
    }
  }

  private void handleRented(Claim claim, List<MachineName> names) {
    Offer offer = claim.offer();
    for (MachineName name : names) {
      MachineInfo machine = new MachineInfo(name, offer.type(), offer.zone(), offer.spot());
      admission.admitRented(machine, claim.shard());
    }
    context.info(
        "machine.rented claim=%s offer=%s rented=%d asked=%d",
        claim.name(), offer, names.size(), claim.count());
    if (names.size() < claim.count()) {
      suspendOffer(offer);
    } else {
      unavailable.recordSuccess(offer);
    }
  }

  private void suspendOffer(Offer offer) {
    // Requests for this offer that were not sent yet would fail too; their owners request another
    // offer. Requests that may have been carried out stay, since only their answer names the
    // machines.
    waiting.removeIf(claim -> claim.offer().equals(offer) && !claimsInDoubt.contains(claim.name()));
    unavailable.recordRefusal(offer);
  }
}
