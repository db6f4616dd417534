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
import shorecrank.transport.HttpClientPool.ResponseHandler;

/** Sends the controller's calls to the state service, the cloud, other controllers and workers. */
final class OutboundCalls {
  private static final int STATE_CONNECTIONS = 24;
  private static final int CLOUD_CONNECTIONS = 12;
  private static final int PEER_CONNECTIONS = 4;

  private final EventLoop loop;
  private final HttpClientPool state;
  private final HttpClientPool cloud;
  private final Map<ControllerName, HttpClientPool> peers = new HashMap<>();

  OutboundCalls(EventLoop loop, NodeConfig config) {
    this.loop = loop;
    this.state = new HttpClientPool(loop, config.stateAddr(), STATE_CONNECTIONS);
    this.cloud = new HttpClientPool(loop, config.cloudAddr(), CLOUD_CONNECTIONS);
    for (Member member : config.members()) {
      peers.put(member.label(), new HttpClientPool(loop, member.addr(), PEER_CONNECTIONS));
    }
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
      JsonNode none = Json.parse(null);
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
    HttpClientPool connection = new HttpClientPool(loop, Address.of(worker.address()), 1);
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
