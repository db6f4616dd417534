package shorecrank.daemon;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import shorecrank.config.NodeConfig;
import shorecrank.config.Tuning;
import shorecrank.coordination.Core;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.rebalance.ShareSettings;
import shorecrank.rollout.RolloutSetup;
import shorecrank.transport.Runtime;

/** One controller process. */
final class Daemon {
  private static final Logger LOG = LoggerFactory.getLogger("shorecrank");
  private final Runtime runtime;
  private final NodeConfig config;

  /**
   * @param rollout null if rollouts are not enabled
   * @param shares null if shares are not enabled
   * @param identity names this process and no other, also not a later one under the same label
   */
  Daemon(
      NodeConfig config,
      Tuning tuning,
      RolloutSetup rollout,
      ShareSettings shares,
      String identity) {
    this.config = config;
    WriterId writer = new WriterId(config.label() + "." + identity);
    Core core = new Core(config, tuning, writer, rollout, shares);
    this.runtime = new Runtime(config, tuning, core, new SimpleMeterRegistry());
  }

  void start() throws InterruptedException {
    runtime.start();
    LOG.info(
        "{} serves on {}, peers on {}", config.label(), config.publicAddr(), config.peerBind());
  }
}
