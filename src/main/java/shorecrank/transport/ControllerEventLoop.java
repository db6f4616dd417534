package shorecrank.transport;

import com.fasterxml.jackson.databind.JsonNode;
import io.micrometer.core.instrument.Measurement;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.agrona.concurrent.EpochClock;
import org.agrona.concurrent.NanoClock;
import org.agrona.concurrent.SystemEpochClock;
import org.agrona.concurrent.SystemNanoClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import shorecrank.config.NodeConfig;
import shorecrank.config.NodeConfig.Address;
import shorecrank.config.NodeConfig.Member;
import shorecrank.config.Settings;
import shorecrank.coordination.ControllerStateMachine;
import shorecrank.coordination.step.Input;
import shorecrank.coordination.step.Output;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Json;

/** Runs the core on one event loop: sockets and clocks on one side, its inputs on the other. */
public final class ControllerEventLoop {
  private static final Logger LOG = LoggerFactory.getLogger("shorecrank");
  private static final int EXIT_BROKEN = 3;
  private static final int METERS_S = 10;
  private static final int MIN_IDLE_S = 30;

  private final NodeConfig config;
  private final Settings tuning;
  private final ControllerStateMachine core;
  private final MeterRegistry meters;
  private final Map<String, Timer> steps = new HashMap<>();
  private final Timer lateRounds;
  private final Map<String, Double> lastMeters = new TreeMap<>();
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final NanoClock nanos = SystemNanoClock.INSTANCE;
  private final EpochClock wall = SystemEpochClock.INSTANCE;
  private final SplittableRandom entropy = new SplittableRandom(new SecureRandom().nextLong());
  private final Long2ObjectOpenHashMap<HttpServer.Exchange> exchanges =
      new Long2ObjectOpenHashMap<>();
  private final Object2DoubleOpenHashMap<String> gauges = new Object2DoubleOpenHashMap<>();
  private final HttpClientPool state;
  private final HttpClientPool cloud;
  private final Map<ControllerName, HttpClientPool> peers = new HashMap<>();
  private long nextExchange = 1;
  private long due;

  public ControllerEventLoop(
      NodeConfig config, Settings tuning, ControllerStateMachine core, MeterRegistry meters) {
    this.config = config;
    this.tuning = tuning;
    this.core = core;
    this.meters = meters;
    this.lateRounds = meters.timer("round.late");
    meters.gauge("heap.used", this, r -> r.heapUsed());
    meters.gauge("state.calls.open", this, r -> r.state.pending());
    this.state = new HttpClientPool(loop, config.stateAddr(), 24);
    this.cloud = new HttpClientPool(loop, config.cloudAddr(), 12);
    for (Member m : config.members()) {
      peers.put(m.label(), new HttpClientPool(loop, m.addr(), 4));
    }
  }

  public void start() throws InterruptedException {
    // Some stay for connections that are cut but still count, and for those we open.
    int sockets = config.limits().sockets();
    int idleS = (int) Math.max(MIN_IDLE_S, 4 * config.workers().reportS());
    HttpServer users =
        new HttpServer(
            (int) (sockets * 0.8),
            idleS,
            HttpServer.MAX_BODY,
            (e, m, p, b) -> request(e, false, m, p, b));
    HttpServer others =
        new HttpServer(
            Math.max(16, (int) (sockets * 0.05)),
            idleS,
            HttpServer.MAX_PEER_BODY,
            (e, m, p, b) -> request(e, true, m, p, b));
    users.bind(group, config.publicAddr());
    others.bind(group, config.peerBind());
    meters.gauge("sockets.public", users, HttpServer::open);
    meters.gauge("sockets.peers.in", others, HttpServer::open);
    meters.gauge("sockets.state", state, HttpClientPool::open);
    meters.gauge("sockets.cloud", cloud, HttpClientPool::open);
    meters.gauge(
        "sockets.peers.out",
        peers,
        all -> all.values().stream().mapToInt(HttpClientPool::open).sum());
    due = nanos.nanoTime();
    loop.execute(this::tick);
    if (LOG.isDebugEnabled()) {
      loop.scheduleAtFixedRate(this::logMeters, METERS_S, METERS_S, TimeUnit.SECONDS);
    }
  }

  private double heapUsed() {
    java.lang.Runtime r = java.lang.Runtime.getRuntime();
    return r.totalMemory() - r.freeMemory();
  }

  private void request(
      HttpServer.Exchange e, boolean fromPeer, String method, String path, byte[] body) {
    if (fromPeer && path.equals("/metrics")) {
      e.answer(200, "text/plain", metrics().getBytes(StandardCharsets.UTF_8), 0);
      return;
    }
    long id = nextExchange++;
    exchanges.put(id, e);
    step(new Input.Request(id, fromPeer, method, path, body));
  }

  private void tick() {
    long began = nanos.nanoTime();
    lateRounds.record(Math.max(0, began - due), TimeUnit.NANOSECONDS);
    long budget = TimeUnit.MILLISECONDS.toNanos(tuning.roundBudgetMs());
    step(new Input.Tick(() -> nanos.nanoTime() - began > budget));
    due = nanos.nanoTime() + TimeUnit.MILLISECONDS.toNanos(tuning.roundMs());
    loop.schedule(this::tick, tuning.roundMs(), TimeUnit.MILLISECONDS);
  }

  private void step(Input in) {
    List<Output> out;
    long began = nanos.nanoTime();
    try {
      out =
          core.step(
              in, new MonotonicTime(nanos.nanoTime() / 1_000_000), wall.time(), entropy.nextLong());
    } catch (RuntimeException | Error e) {
      // After a failure half way its picture can't be trusted: a fresh process rebuilds it.
      LOG.error("core failed on {}", in.getClass().getSimpleName(), e);
      java.lang.Runtime.getRuntime().halt(EXIT_BROKEN);
      return;
    }
    carryOut(out);
    steps
        .computeIfAbsent(kind(in), k -> meters.timer("step." + k))
        .record(nanos.nanoTime() - began, TimeUnit.NANOSECONDS);
  }

  /** Kinds of work, so that an operator sees where the processor time goes. */
  private static String kind(Input in) {
    if (in instanceof Input.Request r) {
      return r.fromPeer() ? "peer" : r.path().equals("/v1/report") ? "report" : "user";
    }
    return in instanceof Input.Tick ? "round" : "answer";
  }

  private void carryOut(List<Output> out) {
    for (Output o : out) {
      if (o instanceof Output.Reply r) {
        HttpServer.Exchange e = exchanges.remove(r.reply());
        if (e != null) {
          e.answer(r.status(), "application/json", Json.bytes(r.body()), r.retryAfterS());
        }
      } else if (o instanceof Output.Call c) {
        call(c);
      } else if (o instanceof Output.Log l) {
        switch (l.level()) {
          case ERROR -> LOG.error("{}", l.text());
          case INFO -> LOG.info("{}", l.text());
          case DEBUG -> LOG.debug("{}", l.text());
        }
      } else if (o instanceof Output.Count n) {
        meters.counter(n.metric()).increment(n.by());
      } else if (o instanceof Output.Gauge g) {
        if (!gauges.containsKey(g.metric())) {
          meters.gauge(g.metric(), gauges, m -> m.getDouble(g.metric()));
        }
        gauges.put(g.metric(), g.value());
      }
    }
  }

  private void call(Output.Call c) {
    HttpClientPool.OnAnswer then = (s, body) -> step(new Input.Answer(c.call(), s, body));
    if (c.target() instanceof Output.Worker w) {
      // There are hundreds of workers, and each is called rarely: no connection stays open.
      HttpClientPool once = new HttpClientPool(loop, Address.of(w.address()), 1);
      once.call(
          c.method(),
          c.path(),
          c.body(),
          c.timeoutMs(),
          (s, body) -> {
            once.close();
            then.answer(s, body);
          });
      return;
    }
    HttpClientPool pool;
    if (c.target() instanceof Output.Peer p) {
      pool = peers.get(p.label());
    } else {
      pool = c.target() == Output.Service.STATE ? state : cloud;
    }
    if (pool == null) {
      JsonNode none = Json.parse(null);
      loop.execute(() -> then.answer(0, none));
    } else {
      pool.call(c.method(), c.path(), c.body(), c.timeoutMs(), then);
    }
  }

  private Map<String, Double> values() {
    Map<String, Double> all = new TreeMap<>();
    for (Meter m : meters.getMeters()) {
      for (Measurement v : m.measure()) {
        String of = m.getId().getName();
        if (m.getId().getType() == Meter.Type.TIMER) {
          of += "." + v.getStatistic().getTagValueRepresentation();
        }
        all.put(of, v.getValue());
      }
    }
    return all;
  }

  private String metrics() {
    StringBuilder s = new StringBuilder();
    values().forEach((name, v) -> s.append(name).append(' ').append(v).append('\n'));
    return s.toString();
  }

  /** What has moved since the last such line. */
  private void logMeters() {
    StringBuilder s = new StringBuilder();
    values()
        .forEach(
            (name, v) -> {
              Double was = lastMeters.put(name, v);
              if (was == null || was.doubleValue() != v) {
                s.append(' ').append(name).append('=');
                s.append(
                    String.format(
                        "%.4g", gauges.containsKey(name) ? v : v - (was == null ? 0 : was)));
              }
            });
    LOG.debug("meters{}", s);
  }
}
