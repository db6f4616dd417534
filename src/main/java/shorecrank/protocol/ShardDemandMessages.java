package shorecrank.protocol;

import java.util.List;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MoveId;

/** What shard owners report to the leader about their shards' demand for machines. */
public final class ShardDemandMessages {
  private ShardDemandMessages() {}

  /**
   * A machine that the shard could give up.
   *
   * @param cpus the machine's processors
   * @param emptyInS seconds after which it is expected to be empty
   */
  public record DrainCandidate(MachineName machine, double cpus, double emptyInS) {}

  /** Why a machine that is to be handed over has not been handed over yet. */
  public enum DrainState {
    /**
     * Tasks run on the machine, or a job record that is stored or being written may still name it.
     */
    DRAINING,
    /** Heartbeats of the machine's worker are overdue. */
    SILENT,
    /** The cloud has announced that it takes the machine back. */
    NOTICED
  }

  /**
   * The progress of draining a machine that is to be handed over.
   *
   * @param tasks number of tasks that the machine still holds
   * @param emptyInS seconds after which these tasks are expected to have ended
   */
  public record DrainProgress(MoveId move, DrainState state, int tasks, double emptyInS) {}

  /**
   * What a shard has, needs and could give up. Amounts are numbers of processors.
   *
   * @param capacity processors of the machines on which the shard may place tasks
   * @param running processors that tasks use
   * @param waiting processors that queued tasks within their teams' limits need, one element per
   *     priority from the highest to the lowest
   * @param guaranteed the part of {@code running} and {@code waiting} that is within the teams'
   *     guarantees
   * @param oldestWaitS seconds for which the oldest job without any started task has waited
   * @param usableOffers offers of machines that queued tasks could run on
   * @param candidates machines that the shard could give up, the soonest empty first
   * @param draining machines that are being drained to be handed over
   * @param arrived moves whose machine has come to this shard and sends heartbeats to its owner
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

    /** Returns the processors that queued tasks of all priorities need. */
    public double totalWaiting() {
      return waiting.stream().mapToDouble(Double::doubleValue).sum();
    }
  }
}
