package shorecrank.daemon;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import shorecrank.config.NodeConfig;
import shorecrank.config.Settings;
import shorecrank.coordination.ControllerStateMachine;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.rebalance.ShareSettings;
import shorecrank.rollout.RolloutSetup;
import shorecrank.transport.ControllerEventLoop;

/** One controller process. */
final class ControllerProcess {
  private static final Logger LOG = LoggerFactory.getLogger("shorecrank");
  private final ControllerEventLoop eventLoop;
  private final NodeConfig config;

  /**
   * @param rollout null if rollouts are not enabled
   * @param shares null if shares are not enabled
   * @param identity names this process and no other, also not a later one under the same label
   */
  ControllerProcess(
      NodeConfig config,
      Settings tuning,
      RolloutSetup rollout,
      ShareSettings shares,
      String identity) {
    this.config = config;
    WriterId writer = new WriterId(config.label() + "." + identity);
    ControllerStateMachine core =
        new ControllerStateMachine(config, tuning, writer, rollout, shares);
    this.eventLoop = new ControllerEventLoop(config, tuning, core, new SimpleMeterRegistry());
  }

  void start() throws InterruptedException {
    eventLoop.start();
    LOG.info(
        "{} serves on {}, peers on {}", config.label(), config.publicAddr(), config.peerBind());
  }
}
