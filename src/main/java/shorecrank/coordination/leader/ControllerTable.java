package shorecrank.coordination.leader;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import shorecrank.config.NodeConfig.Member;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.HeartbeatMessages.Heartbeat;
import shorecrank.protocol.Ids.ControllerName;

/** The controllers whose heartbeats the leader has received in its term, including its own. */
final class ControllerTable {
  /** The time for which a controller's report that it reaches the state service is relied on. */
  private static final int REACHABILITY_VALID_MS = 3000;

  /**
   * The time without a heartbeat, beyond two heartbeat intervals, after which a controller counts
   * as unable to serve a shard.
   */
  private static final int SERVING_MARGIN_MS = 500;

  private final StepContext context;
  private final Map<ControllerName, ControllerState> controllers = new TreeMap<>();

  ControllerTable(StepContext context) {
    this.context = context;
  }

  /** Removes all controllers at the start of a term. */
  void reset() {
    controllers.clear();
  }

  /** Records a heartbeat and returns the state of its sender. */
  ControllerState recordHeartbeat(Heartbeat heartbeat) {
    ControllerState sender =
        controllers.computeIfAbsent(heartbeat.sender(), name -> new ControllerState());
    sender.recordHeartbeat(heartbeat, context.now());
    return sender;
  }

  /** Returns the controllers from which a heartbeat was received, ordered by name. */
  Set<Map.Entry<ControllerName, ControllerState>> entries() {
    return controllers.entrySet();
  }

  /** Returns the number of controllers from which a heartbeat was received. */
  int size() {
    return controllers.size();
  }

  /** Returns the state of a controller; null if no heartbeat was received from it. */
  ControllerState get(ControllerName controller) {
    return controllers.get(controller);
  }

  /**
   * Reports whether a controller can serve a shard: its heartbeats arrive and it reaches the state
   * service.
   */
  boolean canServe(ControllerState controller) {
    return controller.isStoreReachable()
        && controller.msSinceHeartbeat(context.now())
            <= context.settings().heartbeatIntervalMs() * 2L + SERVING_MARGIN_MS;
  }

  /** Reports whether a controller other than {@code except} reaches the state service. */
  boolean isStoreReachableElsewhere(ControllerName except) {
    if (!except.equals(context.config().label()) && context.isStoreReachable()) {
      return true;
    }
    for (Map.Entry<ControllerName, ControllerState> entry : controllers.entrySet()) {
      ControllerState controller = entry.getValue();
      if (!entry.getKey().equals(except)
          && controller.isStoreReachable()
          && controller.msSinceHeartbeat(context.now()) < REACHABILITY_VALID_MS) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the zone of a controller; this controller's own zone if the other is not configured.
   */
  String zoneOf(ControllerName controller) {
    for (Member member : context.config().members()) {
      if (member.label().equals(controller)) {
        return member.zone();
      }
    }
    return context.config().zone();
  }
}
