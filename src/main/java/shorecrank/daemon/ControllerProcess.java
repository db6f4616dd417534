package shorecrank.daemon;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import shorecrank.config.NodeConfig;
import shorecrank.coordination.ControllerStateMachine;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.transport.ControllerEventLoop;

/** A controller: its state machine and the event loop that runs the state machine. */
final class ControllerProcess {
  private static final Logger LOG = LoggerFactory.getLogger("shorecrank");

  private final ControllerEventLoop eventLoop;
  private final NodeConfig node;

  /**
   * Creates a controller without starting it.
   *
   * @param identity identifies this process; it must differ from that of every other process,
   *     including later processes of the controller with the same label
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

  /** Starts the controller; throws an {@code IOException}, undeclared, if it cannot bind a port. */
  void start() throws InterruptedException {
    eventLoop.start();
    LOG.info(
        "controller.started controller={} users={} peers={}",
        node.label(),
        node.publicAddr(),
        node.peerBind());
  }
}
