package shorecrank.transport;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import shorecrank.config.NodeConfig;
import shorecrank.config.NodeConfig.Address;
import shorecrank.config.NodeConfig.Member;
import shorecrank.coordination.step.Output.Call;
import shorecrank.coordination.step.Output.Peer;
import shorecrank.coordination.step.Output.Service;
import shorecrank.coordination.step.Output.Worker;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Json;
import shorecrank.protocol.MalformedMessageException;
import shorecrank.transport.HttpClientPool.ResponseHandler;

/** Sends the controller's calls to the state service, the cloud, other controllers and workers. */
final class OutboundCalls {
  private static final int STATE_CONNECTIONS = 24;
  private static final int CLOUD_CONNECTIONS = 12;
  private static final int PEER_CONNECTIONS = 4;

  /** Observes answers that are not JSON. */
  @FunctionalInterface
  interface UnreadableAnswerHandler {
    /**
     * Called for each answer that cannot be read.
     *
     * @param sender the kind of process that sent it
     * @param status the answer's HTTP status
     * @param bytes the length of its body
     */
    void onUnreadable(
        String sender, Address address, int status, int bytes, MalformedMessageException reason);
  }

  private final EventLoop loop;
  private final UnreadableAnswerHandler unreadableAnswers;
  private final HttpClientPool state;
  private final HttpClientPool cloud;
  private final Map<ControllerName, HttpClientPool> peers = new HashMap<>();

  /**
   * Creates the pools of connections, none of which is open.
   *
   * @param unreadableAnswers observes answers that are not JSON
   */
  OutboundCalls(EventLoop loop, NodeConfig config, UnreadableAnswerHandler unreadableAnswers) {
    this.loop = loop;
    this.unreadableAnswers = unreadableAnswers;
    this.state = pool(config.stateAddr(), STATE_CONNECTIONS, "state");
    this.cloud = pool(config.cloudAddr(), CLOUD_CONNECTIONS, "cloud");
    for (Member member : config.members()) {
      peers.put(member.label(), pool(member.addr(), PEER_CONNECTIONS, "peer"));
    }
  }

  private HttpClientPool pool(Address address, int maxConnections, String sender) {
    return new HttpClientPool(
        loop,
        address,
        maxConnections,
        (status, bytes, reason) ->
            unreadableAnswers.onUnreadable(sender, address, status, bytes, reason));
  }

  /** Registers the metrics with the numbers of calls and connections. */
  void registerMetrics(ControllerMetrics metrics) {
    metrics.registerGauge("state.calls.open", state, HttpClientPool::pendingCalls);
    metrics.registerGauge("sockets.state", state, HttpClientPool::openConnections);
    metrics.registerGauge("sockets.cloud", cloud, HttpClientPool::openConnections);
    metrics.registerGauge(
        "sockets.peers.out",
        peers,
        pools -> pools.values().stream().mapToInt(HttpClientPool::openConnections).sum());
  }

  /**
   * Sends a call. The handler is called exactly once, on the event loop, after this method has
   * returned.
   */
  void send(Call call, ResponseHandler handler) {
    if (call.target() instanceof Worker worker) {
      sendToWorker(worker, call, handler);
      return;
    }
    HttpClientPool pool;
    if (call.target() instanceof Peer peer) {
      pool = peers.get(peer.label());
    } else {
      pool = call.target() == Service.STATE ? state : cloud;
    }
    if (pool == null) {
      JsonNode none = Json.missing();
      loop.execute(() -> handler.handle(HttpClientPool.NO_RESPONSE, none));
    } else {
      pool.call(call.method(), call.path(), call.body(), call.timeoutMs(), handler);
    }
  }

  /**
   * Sends a call to a worker on a connection that is closed after the response. Connections are not
   * kept, because there are hundreds of workers and each is called rarely.
   */
  private void sendToWorker(Worker worker, Call call, ResponseHandler handler) {
    HttpClientPool connection = pool(Address.of(worker.address()), 1, "worker");
    connection.call(
        call.method(),
        call.path(),
        call.body(),
        call.timeoutMs(),
        (status, body) -> {
          connection.close();
          handler.handle(status, body);
        });
  }
}
