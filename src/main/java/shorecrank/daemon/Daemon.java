package shorecrank.daemon;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import shorecrank.config.NodeConfig;
import shorecrank.config.Tuning;
import shorecrank.coordination.Core;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.rollout.RolloutSetup;
import shorecrank.transport.Runtime;

/** One controller process. */
final class Daemon {
  private static final Logger LOG = LoggerFactory.getLogger("shorecrank");
  private final Runtime runtime;
  private final NodeConfig config;

  /**
   * @param rollout null if rollouts are not enabled
   * @param identity names this process and no other, also not a later one under the same label
   */
  Daemon(NodeConfig config, Tuning tuning, RolloutSetup rollout, String identity) {
    this.config = config;
    WriterId writer = new WriterId(config.label() + "." + identity);
    this.runtime =
        new Runtime(
            config, tuning, new Core(config, tuning, writer, rollout), new SimpleMeterRegistry());
  }

  void start() throws InterruptedException {
    runtime.start();
    LOG.info(
        "{} serves on {}, peers on {}", config.label(), config.publicAddr(), config.peerBind());
  }
}
