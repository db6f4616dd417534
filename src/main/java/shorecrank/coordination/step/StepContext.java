package shorecrank.coordination.step;

import com.fasterxml.jackson.databind.JsonNode;
import it.unimi.dsi.fastutil.longs.Long2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import shorecrank.config.NodeConfig;
import shorecrank.config.Settings;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.storage.RateLimiter;
import shorecrank.storage.StateStore;

/** One step's view of the world for the parts of the core: time in, effects out. */
public final class StepContext {
  /** What to do with an answer; status 0 means there was none and the call may still act later. */
  @FunctionalInterface
  public interface OnAnswer {
    void answer(int status, JsonNode body);
  }

  private record Pending(OnAnswer then, Output.Target target, MonotonicTime sent) {}

  /** Steady clocks of two machines drift apart by up to 0.05%; twice that is allowed for. */
  private static final double EVIDENCE_DRIFT = 0.002;

  /** For timers that fire late, here and at the worker. */
  private static final int EVIDENCE_MARGIN_MS = 500;

  /** What is refused for the same reason is logged no more often. */
  private static final int REFUSAL_PAUSE_MS = 5000;

  public final NodeConfig config;
  public final Settings tuning;
  public final WriterId writer;
  public final RateLimiter requests;
  public final RateLimiter writes;

  /** Changes that users wait for: these may use all that the state service takes. */
  public final RateLimiter userWrites;

  private final Long2ObjectOpenHashMap<Pending> calls = new Long2ObjectOpenHashMap<>();
  private long nextCall = 1;
  private long lives;
  private List<Output> out = new ArrayList<>();
  private MonotonicTime now = new MonotonicTime(0);
  private long wallMs;
  private SplittableRandom random = new SplittableRandom(0);
  private MonotonicTime stateOkAt = MonotonicTime.NEVER;
  private MonotonicTime stateOkSince = MonotonicTime.NEVER;
  private MonotonicTime peerHeardAt = MonotonicTime.NEVER;
  private final StateStore store = new StepStateStore(this);
  private final PeerClient peers = new PeerClient(this);
  private MonotonicTime startedAt = MonotonicTime.NEVER;
  private final Map<String, MonotonicTime> refusalToldAt = new HashMap<>();

  public StepContext(NodeConfig config, Settings tuning, WriterId writer) {
    this.config = config;
    this.tuning = tuning;
    this.writer = writer;
    this.requests = new RateLimiter(config.state().rps());
    this.writes = new RateLimiter(config.state().writeRps());
    this.userWrites = new RateLimiter(config.state().writeRps());
    share(0, false);
  }

  /**
   * Bounds hold per process, with room for the others' share of the state service. What users wait
   * for is not bound by the share: it comes in bursts, at one controller more than at others, and
   * the state service itself says when it is too much.
   */
  public void share(double owned, boolean leading) {
    int n = Math.max(1, config.members().size() + 1);
    requests.rate(config.state().rps() * (0.55 / n + 0.4 * owned));
    writes.rate(config.state().writeRps() * (0.1 / n + 0.75 * owned + (leading ? 0.05 : 0)));
  }

  /**
   * So old may be what an owner knows of confirmed cancellations while it renews workers' leases:
   * what it missed ends with the lease, and no later than {@code cancel_s} after the confirmation.
   */
  public long evidenceMs() {
    return Math.max(leastEvidenceMs(), safeEvidenceMs());
  }

  private long safeEvidenceMs() {
    double spare = (config.workers().cancelS() - config.workers().leaseS()) * 1000;
    return (long) (spare * (1 - EVIDENCE_DRIFT) - EVIDENCE_MARGIN_MS);
  }

  /** Where the platform leaves less than this, nobody could renew a lease at all. */
  private long leastEvidenceMs() {
    return (long) (2000 * config.workers().reportS() + 1000);
  }

  /** Whether the platform leaves enough time between the lease and the end of cancelled tasks. */
  public boolean cancelsInTime() {
    return safeEvidenceMs() >= leastEvidenceMs();
  }

  public void begin(MonotonicTime now, long wallMs, long entropy) {
    if (startedAt == MonotonicTime.NEVER) {
      startedAt = now;
    }
    this.now = now;
    this.wallMs = wallMs;
    this.random = new SplittableRandom(entropy);
  }

  public List<Output> end() {
    List<Output> done = out;
    out = new ArrayList<>();
    return done;
  }

  /** Numbers objects that write records, so that their writes can be told apart. */
  public long nextLife() {
    return ++lives;
  }

  public MonotonicTime now() {
    return now;
  }

  public long wallMs() {
    return wallMs;
  }

  public SplittableRandom random() {
    return random;
  }

  /** The state service. */
  public StateStore store() {
    return store;
  }

  /** The other controllers. */
  public PeerClient peers() {
    return peers;
  }

  /** When the first step of this process began. */
  public MonotonicTime startedAt() {
    return startedAt;
  }

  /** Calls the state service by method and path; callers go over to {@link #store()}. */
  public void state(String method, String path, JsonNode body, int timeoutMs, OnAnswer then) {
    requests.take(1, now);
    count("state.requests");
    if (body != null && body.has("apply")) {
      count("state.writes", body.path("apply").size());
    }
    call(Output.Service.STATE, method, path, body, timeoutMs, then);
  }

  public void cloud(String method, String path, JsonNode body, int timeoutMs, OnAnswer then) {
    call(Output.Service.CLOUD, method, path, body, timeoutMs, then);
  }

  public void worker(String address, String path, JsonNode body, int timeoutMs, OnAnswer then) {
    call(new Output.Worker(address), "POST", path, body, timeoutMs, then);
  }

  public void peer(ControllerName to, String path, JsonNode body, int timeoutMs, OnAnswer then) {
    call(new Output.Peer(to), "POST", path, body, timeoutMs, then);
  }

  private void call(
      Output.Target t, String method, String path, JsonNode body, int timeoutMs, OnAnswer then) {
    long id = nextCall++;
    calls.put(id, new Pending(then, t, now));
    out.add(new Output.Call(id, t, method, path, body, timeoutMs));
  }

  public void answered(Input.Answer a) {
    Pending p = calls.remove(a.call());
    if (p == null) {
      return;
    }
    if (p.target instanceof Output.Peer && a.status() != 0) {
      peerHeard();
    }
    if (p.target == Output.Service.STATE) {
      if (a.status() != 0 && a.status() < 500) {
        if (!stateOk()) {
          stateOkSince = now;
        }
        stateOkAt = now;
        if (a.status() == 429) {
          requests.drain();
          writes.drain();
          count("state.throttled");
        }
      }
    }
    p.then.answer(a.status(), a.body());
  }

  /** The state service answered lately. */
  public boolean stateOk() {
    return now.since(stateOkAt) < tuning.stateFreshMs();
  }

  public MonotonicTime stateOkAt() {
    return stateOkAt;
  }

  /** Another controller has answered, whatever it was asked, or asks something. */
  public void peerHeard() {
    peerHeardAt = now;
  }

  /** How long no other controller has been heard. */
  public long aloneMs() {
    return now.since(peerHeardAt);
  }

  /** When the state service began to answer again after it had not, or first. */
  public MonotonicTime stateOkSince() {
    return stateOkSince;
  }

  public void reply(long reply, int status, JsonNode body) {
    out.add(new Output.Reply(reply, status, body, 0));
  }

  public void replyLater(long reply, int status, JsonNode body, int retryAfterS) {
    out.add(new Output.Reply(reply, status, body, retryAfterS));
  }

  public void info(String format, Object... args) {
    out.add(new Output.Log(Output.Level.INFO, String.format(format, args)));
  }

  public void error(String format, Object... args) {
    out.add(new Output.Log(Output.Level.ERROR, String.format(format, args)));
  }

  /** A key of the state service holds nothing that this version reads; it is left alone. */
  public void unreadable(String key) {
    refused("state.unreadable", "the value of " + key + " makes no sense, left alone");
  }

  /** Something from outside was refused: counted, and logged at a bounded rate. */
  public void refused(String metric, String what) {
    count(metric);
    if (now.since(refusalToldAt.getOrDefault(metric, MonotonicTime.NEVER)) >= REFUSAL_PAUSE_MS) {
      refusalToldAt.put(metric, now);
      error("%s", what);
    }
  }

  public void count(String metric) {
    count(metric, 1);
  }

  public void count(String metric, long by) {
    out.add(new Output.Count(metric, by));
  }

  public void gauge(String metric, double v) {
    out.add(new Output.Gauge(metric, v));
  }
}
