package shorecrank.coordination.scheduling;

import java.util.List;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.HeartbeatMessages.CapacityRequest;
import shorecrank.protocol.HeartbeatMessages.UnavailableOffer;
import shorecrank.protocol.Ids.MachineName;

/** Decides which machines a shard asks the leader to rent and which it returns to the cloud. */
public final class Autoscaler {
  private final StepContext context;
  private final OfferAvailability availability = new OfferAvailability();
  private final CorrelatedSilenceDetector silenceDetector;
  private final CapacityPlanner capacityPlanner;
  private final DrainPlanner drainPlanner;
  private final ReleasePlanner releasePlanner;

  /** Creates the autoscaler of one shard. */
  public Autoscaler(StepContext context, ShardView shard) {
    this.context = context;
    DemandEstimator estimator = new DemandEstimator(context, shard);
    this.silenceDetector = new CorrelatedSilenceDetector(context, shard);
    this.capacityPlanner = new CapacityPlanner(context, shard, estimator, availability);
    this.drainPlanner = new DrainPlanner(context, shard, estimator);
    this.releasePlanner = new ReleasePlanner(context, shard, silenceDetector);
  }

  /** Replaces the offers that the cloud currently refuses, as reported by the leader. */
  public void updateUnavailableOffers(List<UnavailableOffer> unavailable) {
    availability.update(unavailable, context.now());
  }

  /**
   * Drains machines that are not needed, and cancels the drain of machines that are needed again.
   *
   * @return the machines to return to the cloud now
   */
  public List<MachineName> scaleIn() {
    silenceDetector.observe();
    drainPlanner.update();
    return releasePlanner.machinesToReturn();
  }

  /** Returns the machines that queued jobs need beyond those that are running or booting. */
  public List<CapacityRequest> capacityRequests() {
    return capacityPlanner.capacityRequests();
  }
}
