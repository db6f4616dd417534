package shorecrank.coordination;

import shorecrank.coordination.step.StepContext;

/** Whether users are well served by this controller, for load balancers. */
final class HealthCheck {
  /** A controller without the state service for this long is unhealthy while others reach it. */
  private static final int STORE_OUTAGE_MS = 3000;

  /** What was heard of other controllers counts for this long. */
  private static final int PEER_INFO_MAX_AGE_MS = 4000;

  /** A controller that has heard no other for this long is isolated. */
  private static final int ISOLATED_AFTER_MS = 6000;

  private final StepContext context;
  private final MachineTypeCatalog catalog;
  private final PeerStoreReachability peerReachability;

  HealthCheck(
      StepContext context, MachineTypeCatalog catalog, PeerStoreReachability peerReachability) {
    this.context = context;
    this.catalog = catalog;
    this.peerReachability = peerReachability;
  }

  /**
   * Whether this controller should get users' requests. In an outage of the state service no
   * controller is better than another, so that all stay healthy.
   */
  boolean isHealthy() {
    if (catalog.isEmpty()) {
      return false;
    }
    if (context.now().since(context.storeLastAnsweredAt()) < STORE_OUTAGE_MS) {
      return true;
    }
    boolean isStoreReachableByPeers =
        peerReachability.isReachable() && peerReachability.msSinceReport() < PEER_INFO_MAX_AGE_MS;
    boolean isIsolated =
        !context.config().members().isEmpty() && context.msSincePeerContact() > ISOLATED_AFTER_MS;
    return !isStoreReachableByPeers && !isIsolated;
  }
}
