package shorecrank.protocol;

import java.util.List;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MoveId;

/** What owners report to the leader of their shards' demand for machines. */
public final class ShardDemandMessages {
  private ShardDemandMessages() {}

  /**
   * A machine that a shard could give up.
   *
   * @param emptyInS in how many seconds it would be empty
   */
  public record DrainCandidate(MachineName machine, double cpus, double emptyInS) {}

  /** What keeps a machine from being handed over. */
  public enum DrainState {
    /** Tasks run on it, or records that may name it are not settled. */
    DRAINING,
    /** Its worker is not heard. */
    SILENT,
    /** The cloud takes it back. */
    NOTICED
  }

  /**
   * How far a machine is that is to be handed over.
   *
   * @param tasks those that it still holds
   * @param emptyInS in how many seconds they should have ended
   */
  public record DrainProgress(MoveId move, DrainState state, int tasks, double emptyInS) {}

  /**
   * What a shard has, needs and could give up. Amounts are processors.
   *
   * @param capacity of the machines that it may place tasks on
   * @param running taken by tasks
   * @param waiting asked for by waiting tasks within their teams' limits, by priority, the highest
   *     first
   * @param guaranteed of what runs and waits, the part within its teams' guarantees
   * @param oldestWaitS since when the oldest job without any task waits, in seconds
   * @param usableOffers machines that waiting tasks could run on
   * @param candidates machines that it could give up, the soonest empty first
   * @param draining machines that are to be handed over
   * @param arrived orders whose machine has come and is heard
   */
  public record ShardDemand(
      double capacity,
      double running,
      List<Double> waiting,
      double guaranteed,
      double oldestWaitS,
      List<Offer> usableOffers,
      List<DrainCandidate> candidates,
      List<DrainProgress> draining,
      List<MoveId> arrived) {

    /** The processors that all waiting tasks ask for, whatever their priority. */
    public double totalWaiting() {
      return waiting.stream().mapToDouble(Double::doubleValue).sum();
    }
  }
}
