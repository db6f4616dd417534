package shorecrank.coordination.leader;

import java.util.List;
import java.util.Map;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.HeartbeatMessages.CapacityRequest;
import shorecrank.protocol.HeartbeatMessages.UnavailableOffer;
import shorecrank.protocol.Ids.ShardId;

/**
 * Makes the leader's calls of the cloud in their order: machines are returned first, then rented,
 * and the list is read with what the rate limit leaves.
 */
final class CloudProvisioner {
  private final CloudClient client;
  private final MachineReleases releases;
  private final UnavailableOffers unavailable;
  private final MachineRental rental;
  private final MachineListing listing;

  CloudProvisioner(
      StepContext context,
      LoadedTerm loadedTerm,
      CloudClient client,
      MachineDirectory machines,
      MachineReleases releases,
      MachineAdmission admission) {
    this.client = client;
    this.releases = releases;
    this.unavailable = new UnavailableOffers(context);
    this.rental = new MachineRental(context, loadedTerm, client, unavailable, admission);
    this.listing = new MachineListing(context, loadedTerm, machines, client, releases, admission);
  }

  /** Takes in the machine types that the cloud offers. */
  void updateCatalog(Map<String, MachineType> types) {
    listing.updateCatalog(types);
  }

  /** A term has begun: what the last one asked for is found in the machine list. */
  void beginTerm() {
    rental.beginTerm();
    releases.beginTerm();
    unavailable.beginTerm();
    listing.beginTerm();
  }

  /** Once a round. */
  void tick() {
    if (client.isPaused()) {
      return;
    }
    if (releases.hasWork() && client.tryTake()) {
      releases.send();
    }
    rental.sendWaiting();
    if (listing.hasWork() && client.tryTake()) {
      listing.readPage();
    }
  }

  /** Whether nothing is being rented. */
  boolean isIdle() {
    return rental.isIdle();
  }

  /** Rents what an owner asks for, except kinds that were refused lately. */
  void request(ShardId shard, List<CapacityRequest> requests) {
    rental.request(shard, requests);
  }

  /** The kinds that are not asked for now, and for how long. */
  List<UnavailableOffer> unavailableOffers() {
    return unavailable.describe();
  }
}
