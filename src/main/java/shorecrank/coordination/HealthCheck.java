package shorecrank.coordination;

import shorecrank.coordination.step.StepContext;

/** Decides whether load balancers should send users' requests to this controller. */
final class HealthCheck {
  /**
   * How long the state service may go without answering this controller before the controller is
   * unhealthy, provided that other controllers reach the service.
   */
  private static final int STORE_OUTAGE_MS = 3000;

  /** How long a report that other controllers reach the state service is relied on. */
  private static final int PEER_INFO_MAX_AGE_MS = 4000;

  /** How long without a message from any other controller until this controller is isolated. */
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
   * Reports whether this controller should get users' requests. While no controller reaches the
   * state service, every controller that receives messages from others stays healthy: otherwise a
   * load balancer would be left without any controller, although none serves users better than
   * another.
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
