package shorecrank.coordination.leader;

import java.util.List;
import java.util.Map;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.HeartbeatMessages.CapacityRequest;
import shorecrank.protocol.HeartbeatMessages.UnavailableOffer;
import shorecrank.protocol.Ids.ShardId;

/**
 * Sends the leader's calls to the cloud by priority: releases first, then rentals; the machine list
 * is read with the calls that the rate limit leaves.
 */
final class CloudProvisioner {
  private final CloudClient client;
  private final MachineReleases releases;
  private final UnavailableOffers unavailable;
  private final MachineRental rental;
  private final MachineListReconciler listReconciler;

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
    this.listReconciler =
        new MachineListReconciler(context, loadedTerm, machines, client, releases, admission);
  }

  /** Updates the machine types that the cloud offers. */
  void updateCatalog(Map<String, MachineType> types) {
    listReconciler.updateCatalog(types);
  }

  /**
   * Drops all pending work at the start of a term; reading the machine list shows what calls of the
   * previous term have done.
   */
  void beginTerm() {
    rental.beginTerm();
    releases.beginTerm();
    unavailable.beginTerm();
    listReconciler.beginTerm();
  }

  /** Sends the calls that are due; called on every tick of the leader. */
  void tick() {
    if (client.isPaused()) {
      return;
    }
    if (releases.hasWork() && client.tryTake()) {
      releases.send();
    }
    rental.sendWaiting();
    if (listReconciler.hasWork() && client.tryTake()) {
      listReconciler.readPage();
    }
  }

  /** Reports whether no rental is waiting or pending. */
  boolean isIdle() {
    return rental.isIdle();
  }

  /**
   * Queues the rental of the machines that a shard's owner requests, except for offers that
   * recently had no capacity.
   */
  void request(ShardId shard, List<CapacityRequest> requests) {
    rental.request(shard, requests);
  }

  /**
   * Returns the offers that are not requested at the moment, with the time until they are requested
   * again.
   */
  List<UnavailableOffer> unavailableOffers() {
    return unavailable.current();
  }
}
