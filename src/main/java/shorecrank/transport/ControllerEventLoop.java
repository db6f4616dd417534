package shorecrank.transport;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;
import org.agrona.concurrent.SystemEpochClock;
import org.agrona.concurrent.SystemNanoClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import shorecrank.config.NodeConfig;
import shorecrank.config.NodeConfig.Address;
import shorecrank.config.Settings;
import shorecrank.coordination.ControllerStateMachine;
import shorecrank.coordination.step.Input;
import shorecrank.coordination.step.Output;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Json;
import shorecrank.protocol.MalformedMessageException;
import shorecrank.transport.HttpServer.Exchange;

/**
 * Runs the controller's state machine on one thread. Requests, responses to calls and periodic
 * ticks are the inputs of the state machine; the event loop executes the outputs of each step.
 */
public final class ControllerEventLoop {
  private static final Logger LOG = LoggerFactory.getLogger("shorecrank");
  private static final int EXIT_STEP_FAILED = 3;
  private static final int METRICS_LOG_PERIOD_S = 10;

  /** Unreadable answers are logged at most once in this time. */
  private static final int UNREADABLE_LOG_PERIOD_S = 5;

  /** A request has to be received within this time; users wait no longer for its answer. */
  private static final int MAX_REQUEST_S = 5;

  /** The unfinished requests of a server may hold this part of the memory: one in so many bytes. */
  private static final int UNFINISHED_MEMORY_DIVISOR = 16;

  /** The waiting requests of a class may hold this part of the memory: one in so many bytes. */
  private static final int WAITING_MEMORY_DIVISOR = 16;

  private static final String METRICS_PATH = "/metrics";

  /** The shortest idle time after which a server closes a connection. */
  private static final int MIN_IDLE_S = 30;

  /**
   * The idle time after which a server closes a connection, in intervals of workers' heartbeats, so
   * that a worker's connection stays open from one heartbeat to the next.
   */
  private static final int IDLE_HEARTBEAT_INTERVALS = 4;

  /**
   * The fraction of the process's sockets for connections of users and workers. The sockets that
   * remain after these and those of peers are for outgoing connections, and for connections that
   * are broken but not closed yet.
   */
  private static final double PUBLIC_SOCKETS_FRACTION = 0.8;

  /** The fraction of the process's sockets for connections of peers and operators. */
  private static final double PEER_SOCKETS_FRACTION = 0.05;

  private static final int MIN_PEER_SOCKETS = 16;

  /** How long waiting requests are processed before the sockets are read again. */
  private static final long PROCESSING_SLICE_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

  /** A request that has not been processed yet. */
  private record Received(
      Exchange exchange, boolean fromPeer, String method, String path, byte[] body) {}

  private final NodeConfig config;
  private final Settings settings;
  private final ControllerStateMachine stateMachine;
  private final ControllerMetrics metrics;
  private final MultiThreadIoEventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = eventLoops.next();
  private final NanoClock nanoClock = SystemNanoClock.INSTANCE;
  private final EpochClock wallClock = SystemEpochClock.INSTANCE;
  private final SplittableRandom stepSeeds = new SplittableRandom(new SecureRandom().nextLong());
  private final Long2ObjectOpenHashMap<Exchange> pendingExchanges = new Long2ObjectOpenHashMap<>();
  private final OutboundCalls outboundCalls;
  private final RequestQueue<Received> requests =
      new RequestQueue<>(
          received -> !received.exchange.isOpen(),
          this::onDropped,
          received -> received.body.length);
  private final UnfinishedRequests unfinishedUsers = newUnfinishedRequests();
  private final UnfinishedRequests unfinishedPeers = newUnfinishedRequests();
  private boolean isProcessingScheduled;

  private long nextExchangeId = 1;

  /** The time on {@link #nanoClock} at which the next scheduling round is due. */
  private long nextRoundNanos;

  private long nextUnreadableLogNanos = Long.MIN_VALUE;

  /**
   * Creates an event loop that does nothing until it is started.
   *
   * @param meters the registry in which the controller's metrics are kept
   */
  public ControllerEventLoop(
      NodeConfig config,
      Settings settings,
      ControllerStateMachine stateMachine,
      MeterRegistry meters) {
    this.config = config;
    this.settings = settings;
    this.stateMachine = stateMachine;
    this.metrics = new ControllerMetrics(meters);
    this.outboundCalls = new OutboundCalls(loop, config, this::reportUnreadableAnswer);
    outboundCalls.registerMetrics(metrics);
  }

  /**
   * Binds the public and the peer address and starts the scheduling rounds. Throws an {@code
   * IOException}, undeclared, if an address cannot be bound.
   */
  public void start() throws InterruptedException {
    int sockets = config.limits().sockets();
    int idleS =
        (int)
            Math.max(MIN_IDLE_S, IDLE_HEARTBEAT_INTERVALS * config.workers().heartbeatIntervalS());
    HttpServer users =
        new HttpServer(
            (int) (sockets * PUBLIC_SOCKETS_FRACTION),
            idleS,
            HttpServer.MAX_BODY_BYTES,
            unfinishedUsers,
            new ConnectionLog("users", metrics, nanoClock),
            (exchange, method, path, body) -> receive(exchange, false, method, path, body));
    HttpServer peers =
        new HttpServer(
            Math.max(MIN_PEER_SOCKETS, (int) (sockets * PEER_SOCKETS_FRACTION)),
            idleS,
            HttpServer.MAX_PEER_BODY_BYTES,
            unfinishedPeers,
            new ConnectionLog("peers", metrics, nanoClock),
            (exchange, method, path, body) -> receive(exchange, true, method, path, body));
    users.bind(eventLoops, config.publicAddr());
    peers.bind(eventLoops, config.peerBind());
    metrics.registerGauge("requests.waiting", requests, RequestQueue::size);
    metrics.registerGauge("sockets.public", users, HttpServer::openConnections);
    metrics.registerGauge("sockets.public.workers", users, HttpServer::workerConnections);
    metrics.registerGauge("sockets.public.limit", users, HttpServer::maxConnections);
    metrics.registerGauge("sockets.peers.in", peers, HttpServer::openConnections);
    registerUnfinished("users", unfinishedUsers);
    registerUnfinished("peers", unfinishedPeers);
    for (RequestClass requestClass : RequestClass.values()) {
      metrics.registerGauge(
          "requests.waiting.bytes." + requestClass.name().toLowerCase(Locale.ROOT),
          requests,
          queue -> queue.waitingBytes(requestClass));
    }
    nextRoundNanos = nanoClock.nanoTime();
    loop.execute(this::runRound);
    if (LOG.isDebugEnabled()) {
      loop.scheduleAtFixedRate(
          metrics::logChanges, METRICS_LOG_PERIOD_S, METRICS_LOG_PERIOD_S, TimeUnit.SECONDS);
    }
  }

  private void registerUnfinished(String server, UnfinishedRequests unfinished) {
    metrics.registerGauge("requests.unfinished." + server, unfinished, UnfinishedRequests::size);
    metrics.registerGauge(
        "requests.unfinished.bytes." + server, unfinished, UnfinishedRequests::totalBytes);
  }

  private UnfinishedRequests newUnfinishedRequests() {
    return new UnfinishedRequests(
        Runtime.getRuntime().maxMemory() / UNFINISHED_MEMORY_DIVISOR,
        TimeUnit.SECONDS.toNanos(MAX_REQUEST_S),
        nanoClock);
  }

  /** Counts an answer that is not JSON, and logs it at a limited rate. */
  private void reportUnreadableAnswer(
      String sender, Address address, int status, int bytes, MalformedMessageException reason) {
    metrics.increment("answers.unreadable." + sender, 1);
    long now = nanoClock.nanoTime();
    if (now >= nextUnreadableLogNanos) {
      nextUnreadableLogNanos = now + TimeUnit.SECONDS.toNanos(UNREADABLE_LOG_PERIOD_S);
      LOG.error(
          "answer.unreadable sender={} address={} status={} bytes={} reason=\"{}\"",
          sender,
          address,
          status,
          bytes,
          reason.getMessage());
    }
  }

  private void receive(
      Exchange exchange, boolean fromPeer, String method, String path, byte[] body) {
    if (fromPeer && path.equals(METRICS_PATH)) {
      byte[] text = metrics.text().getBytes(StandardCharsets.UTF_8);
      exchange.reply(200, "text/plain", text, 0);
      return;
    }
    RequestClass requestClass = RequestClass.of(fromPeer, method, path);
    if (!hasRoomFor(requestClass, body)) {
      metrics.increment("requests.refused.bytes", 1);
      exchange.refuseForLoad("too many requests wait");
      return;
    }
    requests.add(requestClass, new Received(exchange, fromPeer, method, path, body), nowMs());
    if (!isProcessingScheduled) {
      isProcessingScheduled = true;
      // Runs after all sockets that are ready have been read.
      loop.execute(this::processRequests);
    }
  }

  /**
   * Reports whether a request may wait. One that is no larger than an equal share of its class's
   * room for each socket always may.
   */
  private boolean hasRoomFor(RequestClass requestClass, byte[] body) {
    long maxBytes = Runtime.getRuntime().maxMemory() / WAITING_MEMORY_DIVISOR;
    long shareBytes = maxBytes / config.limits().sockets();
    return body.length <= shareBytes
        || requests.waitingBytes(requestClass) + body.length <= maxBytes;
  }

  /**
   * Processes waiting requests for a limited time. The rest waits until the sockets, which may hold
   * answers of the state service or requests that are served first, have been read again.
   */
  private void processRequests() {
    isProcessingScheduled = false;
    long endNanos = nanoClock.nanoTime() + PROCESSING_SLICE_NANOS;
    while (nanoClock.nanoTime() < endNanos) {
      Received next = requests.poll(nowMs());
      if (next == null) {
        return;
      }
      long id = nextExchangeId++;
      pendingExchanges.put(id, next.exchange);
      step(new Input.Request(id, next.fromPeer, next.method, next.path, next.body));
    }
    isProcessingScheduled = true;
    loop.schedule(this::processRequests, 0, TimeUnit.NANOSECONDS);
  }

  private void onDropped(RequestClass requestClass, Received dropped) {
    metrics.increment("requests.dropped." + requestClass.name().toLowerCase(Locale.ROOT), 1);
    dropped.exchange.abort();
  }

  private long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(nanoClock.nanoTime());
  }

  private void runRound() {
    long startedNanos = nanoClock.nanoTime();
    metrics.recordRoundDelay(Math.max(0, startedNanos - nextRoundNanos));
    unfinishedUsers.giveUpSlow();
    unfinishedPeers.giveUpSlow();
    if (requests.isOverloaded(nowMs())) {
      step(new Input.HeartbeatsDelayed());
    }
    long budget = TimeUnit.MILLISECONDS.toNanos(settings.roundBudgetMs());
    step(new Input.Tick(() -> nanoClock.nanoTime() - startedNanos > budget));
    nextRoundNanos = nanoClock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.roundMs());
    loop.schedule(this::runRound, settings.roundMs(), TimeUnit.MILLISECONDS);
  }

  private void step(Input input) {
    List<Output> outputs;
    long startedNanos = nanoClock.nanoTime();
    try {
      outputs =
          stateMachine.step(
              input, new MonotonicTime(nowMs()), wallClock.time(), stepSeeds.nextLong());
    } catch (RuntimeException | Error e) {
      // The failed step may have changed only a part of the state. The process ends, so that a new
      // one recovers a consistent state from the state service.
      LOG.error("controller.step.failed input={}", input.getClass().getSimpleName(), e);
      Runtime.getRuntime().halt(EXIT_STEP_FAILED);
      return;
    }
    for (Output output : outputs) {
      execute(output);
    }
    metrics.recordStep(input, nanoClock.nanoTime() - startedNanos);
  }

  private void execute(Output output) {
    if (output instanceof Output.Reply reply) {
      Exchange exchange = pendingExchanges.remove(reply.reply());
      if (exchange != null) {
        byte[] body = Json.bytes(reply.body());
        exchange.reply(reply.status(), "application/json", body, reply.retryAfterS());
      }
    } else if (output instanceof Output.Call call) {
      outboundCalls.send(call, (status, body) -> step(new Input.Answer(call.call(), status, body)));
    } else if (output instanceof Output.Log log) {
      log(log);
    } else if (output instanceof Output.Count count) {
      metrics.increment(count.metric(), count.by());
    } else if (output instanceof Output.Duration duration) {
      metrics.recordDuration(duration.metric(), duration.ms());
    } else if (output instanceof Output.Gauge gauge) {
      metrics.updateGauge(gauge.metric(), gauge.value());
    }
  }

  private static void log(Output.Log log) {
    switch (log.level()) {
      case ERROR -> LOG.error("{}", log.text());
      case INFO -> LOG.info("{}", log.text());
      case DEBUG -> LOG.debug("{}", log.text());
    }
  }
}
