package shorecrank.transport;

import java.io.IOException;
import java.net.SocketAddress;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.NanoClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import shorecrank.transport.UnfinishedRequests.Reason;

/**
 * Counts the connections and requests that a server does not serve, and logs them at a low rate.
 */
final class ConnectionLog implements HttpServer.ConnectionEvents {
  private static final Logger LOG = LoggerFactory.getLogger("shorecrank");

  /** Events of one kind are logged at most once in this time. */
  private static final int LOG_PERIOD_S = 5;

  /** The kinds of events, each of which has its own limit of log lines. */
  private enum Kind {
    LIMIT_REACHED,
    GIVEN_UP,
    PIPELINED,
    FAILED
  }

  private final String server;
  private final ControllerMetrics metrics;
  private final NanoClock clock;
  private final Map<Kind, Long> nextLogNanos = new EnumMap<>(Kind.class);

  /**
   * Creates the log of a server.
   *
   * @param server the server's name in log lines and metrics
   */
  ConnectionLog(String server, ControllerMetrics metrics, NanoClock clock) {
    this.server = server;
    this.metrics = metrics;
    this.clock = clock;
  }

  @Override
  public void onRefused(boolean isClosed) {
    metrics.increment("connections.refused." + server + (isClosed ? ".closed" : ".503"), 1);
    if (mayLog(Kind.LIMIT_REACHED)) {
      LOG.error("connections.limit_reached server={} closed={}", server, isClosed);
    }
  }

  @Override
  public void onGivenUp(Reason reason, SocketAddress address, long bytes, long ageMs) {
    String name = reason.name().toLowerCase(Locale.ROOT);
    metrics.increment("requests.given_up." + server + "." + name, 1);
    if (mayLog(Kind.GIVEN_UP)) {
      LOG.error(
          "request.given_up server={} reason={} address={} bytes={} age_ms={}",
          server,
          name,
          address,
          bytes,
          ageMs);
    }
  }

  @Override
  public void onPipelined(SocketAddress address) {
    metrics.increment("connections.pipelined." + server, 1);
    if (mayLog(Kind.PIPELINED)) {
      LOG.error("connection.pipelined server={} address={}", server, address);
    }
  }

  /** Counts a failed connection, and logs it unless the other side has ended it. */
  @Override
  public void onFailed(SocketAddress address, Throwable cause) {
    metrics.increment("connections.failed." + server, 1);
    if (!(cause instanceof IOException) && mayLog(Kind.FAILED)) {
      LOG.error("connection.failed server={} address={}", server, address, cause);
    }
  }

  private boolean mayLog(Kind kind) {
    long now = clock.nanoTime();
    if (now < nextLogNanos.getOrDefault(kind, Long.MIN_VALUE)) {
      return false;
    }
    nextLogNanos.put(kind, now + TimeUnit.SECONDS.toNanos(LOG_PERIOD_S));
    return true;
  }
}
