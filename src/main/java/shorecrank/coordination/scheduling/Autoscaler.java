package shorecrank.coordination.scheduling;

import java.util.List;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.HeartbeatMessages.CapacityRequest;
import shorecrank.protocol.HeartbeatMessages.UnavailableOffer;
import shorecrank.protocol.Ids.MachineName;

/** Says which machines a shard asks the leader to rent, and which to return to the cloud. */
public final class Autoscaler {
  private final StepContext context;
  private final OfferAvailability availability = new OfferAvailability();
  private final CorrelatedSilence correlatedSilence;
  private final CapacityPlanner capacityPlanner;
  private final DrainPlanner drainPlanner;
  private final ReleasePlanner releasePlanner;

  /** An autoscaler of the shard that {@code shard} shows. */
  public Autoscaler(StepContext context, ShardView shard) {
    this.context = context;
    DemandEstimator estimator = new DemandEstimator(context, shard);
    this.correlatedSilence = new CorrelatedSilence(context, shard);
    this.capacityPlanner = new CapacityPlanner(context, shard, estimator, availability);
    this.drainPlanner = new DrainPlanner(context, shard, estimator);
    this.releasePlanner = new ReleasePlanner(context, shard, correlatedSilence);
  }

  /** Takes over the offers that the cloud refuses for now, as the leader tells them. */
  public void updateUnavailableOffers(List<UnavailableOffer> unavailable) {
    availability.update(unavailable, context.now());
  }

  /**
   * Scales in: drains machines that are not needed, or takes them back into use.
   *
   * @return the machines to be returned now
   */
  public List<MachineName> scaleIn() {
    correlatedSilence.observe();
    drainPlanner.update();
    return releasePlanner.machinesToReturn();
  }

  /** Scale out: the machines that queued work needs beyond those that are there or on their way. */
  public List<CapacityRequest> capacityRequests() {
    return capacityPlanner.capacityRequests();
  }
}
