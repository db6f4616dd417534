package shorecrank.coordination.leader;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import shorecrank.config.NodeConfig.Member;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.HeartbeatMessages.Heartbeat;
import shorecrank.protocol.Ids.ControllerName;

/** The controllers that the leader has heard in its term, itself among them. */
final class ControllerTable {
  /** A controller that was heard so lately is taken to reach the state service as it said. */
  private static final int REACHABILITY_VALID_MS = 3000;

  /** Beyond two intervals of heartbeats, the silence after which a controller can't serve. */
  private static final int SERVING_MARGIN_MS = 500;

  private final StepContext context;
  private final Map<ControllerName, ControllerState> controllers = new TreeMap<>();

  ControllerTable(StepContext context) {
    this.context = context;
  }

  /** Starts anew with no controller heard. */
  void reset() {
    controllers.clear();
  }

  /** Takes in a heartbeat, and returns the state of its sender. */
  ControllerState recordHeartbeat(Heartbeat heartbeat) {
    ControllerState sender =
        controllers.computeIfAbsent(heartbeat.sender(), name -> new ControllerState());
    sender.recordHeartbeat(heartbeat, context.now());
    return sender;
  }

  /** The controllers that were heard, by name. */
  Set<Map.Entry<ControllerName, ControllerState>> entries() {
    return controllers.entrySet();
  }

  /** How many controllers were heard. */
  int size() {
    return controllers.size();
  }

  /** A controller that was heard. */
  ControllerState get(ControllerName controller) {
    return controllers.get(controller);
  }

  /** Whether a controller could serve a shard: it is heard and reaches the state service. */
  boolean canServe(ControllerState controller) {
    return controller.isStoreReachable()
        && controller.msSinceHeartbeat(context.now())
            <= context.settings().renewMs() * 2L + SERVING_MARGIN_MS;
  }

  /** Whether a controller other than {@code except} reaches the state service. */
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

  /** The zone of a controller; that of this one if it is not configured. */
  String zoneOf(ControllerName controller) {
    for (Member member : context.config().members()) {
      if (member.label().equals(controller)) {
        return member.location();
      }
    }
    return context.config().zone();
  }
}
