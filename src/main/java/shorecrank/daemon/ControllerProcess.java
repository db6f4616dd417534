package shorecrank.daemon;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import shorecrank.config.NodeConfig;
import shorecrank.coordination.ControllerStateMachine;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.transport.ControllerEventLoop;

/** One controller process: the state machine and the event loop that runs it. */
final class ControllerProcess {
  private static final Logger LOG = LoggerFactory.getLogger("shorecrank");

  private final ControllerEventLoop eventLoop;
  private final NodeConfig node;

  /**
   * Creates a controller that is not started yet.
   *
   * @param identity names this process and no other, also not a later one under the same label
   */
  ControllerProcess(DaemonConfig config, String identity) {
    this.node = config.node();
    WriterId writer = new WriterId(node.label() + "." + identity);
    ControllerStateMachine stateMachine =
        new ControllerStateMachine(
            node, config.settings(), writer, config.rollout(), config.shares());
    this.eventLoop =
        new ControllerEventLoop(node, config.settings(), stateMachine, new SimpleMeterRegistry());
  }

  /** Starts to serve; fails if an address can't be bound. */
  void start() throws InterruptedException {
    eventLoop.start();
    LOG.info(
        "controller.started controller={} users={} peers={}",
        node.label(),
        node.publicAddr(),
        node.peerBind());
  }
}
