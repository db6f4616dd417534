package shorecrank.sim;

import shorecrank.coordination.step.Input;

/**
 * How long a controller's processor takes for an input, in simulated time. Code that has run only
 * for a short time since the start of its process is slower, because it is not compiled yet.
 *
 * @param heartbeatMs for a worker's heartbeat
 * @param userMs for a user's request
 * @param ownerRoundMs for a round of a controller that owns a shard
 * @param otherMs for any other input
 * @param coldFactor factor by which the first inputs of a process take longer
 * @param warmUpMs processor time for which inputs take longer by that factor
 */
record ProcessorCosts(
    double heartbeatMs,
    double userMs,
    double ownerRoundMs,
    double otherMs,
    double coldFactor,
    double warmUpMs) {
  private static final String HEARTBEAT_PATH = "/v1/report";

  /**
   * Returns the processor time of an input in milliseconds.
   *
   * @param usedMs processor time that the process has used since its start
   * @param ownsShard whether the controller owns a shard
   */
  double costMs(Input input, double usedMs, boolean ownsShard) {
    return baseCostMs(input, ownsShard) * (usedMs < warmUpMs ? coldFactor : 1);
  }

  private double baseCostMs(Input input, boolean ownsShard) {
    if (input instanceof Input.Tick && ownsShard) {
      return ownerRoundMs;
    }
    if (!(input instanceof Input.Request request) || request.fromPeer()) {
      return otherMs;
    }
    return request.path().equals(HEARTBEAT_PATH) ? heartbeatMs : userMs;
  }
}
