package shorecrank.coordination.step;

import static shorecrank.protocol.HttpStatus.NO_ANSWER;
import static shorecrank.protocol.HttpStatus.TOO_MANY_REQUESTS;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.SplittableRandom;
import shorecrank.config.NodeConfig;
import shorecrank.config.Settings;
import shorecrank.coordination.step.PendingCalls.PendingCall;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.storage.RateLimiter;
import shorecrank.storage.StateStore;

/**
 * What the parts of the state machine see of the world: time and random numbers come in, calls,
 * replies, log lines and metrics go out. One context lasts as long as its process; the time and the
 * random numbers are those of the step under way.
 */
public final class StepContext {
  private static final String CHANGES_FIELD = "apply";

  private final NodeConfig config;
  private final Settings settings;
  private final WriterId writer;
  private final StoreBudget budget;
  private final CancellationStalenessLimit cancellationStalenessLimit;
  private final PendingCalls calls = new PendingCalls();
  private final StepOutputs outputs = new StepOutputs();
  private final EventLogLimiter logLimiter = new EventLogLimiter();
  private final StoreReachability storeReachability;
  private final StateStore store = new StepStateStore(this);
  private final PeerClient peers = new PeerClient(this);
  private MonotonicTime startedAt = MonotonicTime.NEVER;
  private MonotonicTime now = new MonotonicTime(0);
  private long wallMs;
  private SplittableRandom random = new SplittableRandom(0);
  private MonotonicTime lastPeerContactAt = MonotonicTime.NEVER;
  private long lastInstanceNumber;

  /** Creates the context of a process before its first step. */
  public StepContext(NodeConfig config, Settings settings, WriterId writer) {
    this.config = config;
    this.settings = settings;
    this.writer = writer;
    this.budget = new StoreBudget(config);
    this.cancellationStalenessLimit = new CancellationStalenessLimit(config);
    this.storeReachability = new StoreReachability(settings.stateFreshMs());
  }

  // ---- the step ----------------------------------------------------------------------------

  /**
   * Begins a step.
   *
   * @param now the steady clock
   * @param wallMs the time of day in milliseconds since 1970
   * @param entropy fresh random bits
   */
  public void begin(MonotonicTime now, long wallMs, long entropy) {
    if (startedAt == MonotonicTime.NEVER) {
      startedAt = now;
    }
    this.now = now;
    this.wallMs = wallMs;
    this.random = new SplittableRandom(entropy);
  }

  /** Ends a step and returns its outputs in their order. */
  public List<Output> end() {
    return outputs.take();
  }

  /** The service's configuration. */
  public NodeConfig config() {
    return config;
  }

  /** The program's settings. */
  public Settings settings() {
    return settings;
  }

  /** The name of this process. */
  public WriterId writer() {
    return writer;
  }

  /** The requests that may be sent to the state service. */
  public RateLimiter requestBudget() {
    return budget.requests();
  }

  /** The changes that may be sent to the state service. */
  public RateLimiter writeBudget() {
    return budget.writes();
  }

  /** Changes that users wait for: these may use all that the state service takes. */
  public RateLimiter userWriteBudget() {
    return budget.userWrites();
  }

  /** When the first step of this process began. */
  public MonotonicTime startedAt() {
    return startedAt;
  }

  /** The steady clock at this step. */
  public MonotonicTime now() {
    return now;
  }

  /** The time of day at this step, in milliseconds since 1970. */
  public long wallMs() {
    return wallMs;
  }

  /** The random numbers of this step. */
  public SplittableRandom random() {
    return random;
  }

  /** Numbers objects that write records, so that their writes can be told apart. */
  public long nextInstanceNumber() {
    return ++lastInstanceNumber;
  }

  // ---- calls -------------------------------------------------------------------------------

  /** The state service. */
  public StateStore store() {
    return store;
  }

  /** The other controllers. */
  public PeerClient peers() {
    return peers;
  }

  /**
   * Calls the state service by method and path; {@link #store()} is the typed way.
   *
   * @param body null if there is none
   */
  public void callStore(
      String method, String path, JsonNode body, int timeoutMs, AnswerHandler then) {
    budget.requests().take(1, now);
    count("state.requests");
    if (body != null && body.has(CHANGES_FIELD)) {
      count("state.writes", body.path(CHANGES_FIELD).size());
    }
    call(Output.Service.STATE, method, path, body, timeoutMs, then);
  }

  /**
   * Calls the cloud.
   *
   * @param body null if there is none
   */
  public void callCloud(
      String method, String path, JsonNode body, int timeoutMs, AnswerHandler then) {
    call(Output.Service.CLOUD, method, path, body, timeoutMs, then);
  }

  /** Calls a worker. */
  public void callWorker(
      String address, String path, JsonNode body, int timeoutMs, AnswerHandler then) {
    call(new Output.Worker(address), "POST", path, body, timeoutMs, then);
  }

  /** Calls another controller by path; {@link #peers()} is the typed way. */
  public void callPeer(
      ControllerName to, String path, JsonNode body, int timeoutMs, AnswerHandler then) {
    call(new Output.Peer(to), "POST", path, body, timeoutMs, then);
  }

  private void call(
      Output.Target target,
      String method,
      String path,
      JsonNode body,
      int timeoutMs,
      AnswerHandler then) {
    long number = calls.add(target, then);
    outputs.call(new Output.Call(number, target, method, path, body, timeoutMs));
  }

  /** Takes the answer to a call; a second one to the same call is ignored. */
  public void handleAnswer(Input.Answer answer) {
    PendingCall call = calls.remove(answer.call());
    if (call == null) {
      return;
    }
    if (call.target() instanceof Output.Peer && answer.status() != NO_ANSWER) {
      recordPeerContact();
    }
    if (call.target() == Output.Service.STATE
        && storeReachability.observe(answer.status(), now)
        && answer.status() == TOO_MANY_REQUESTS) {
      budget.drain();
      count("state.throttled");
    }
    call.then().answer(answer.status(), answer.body());
  }

  // ---- what is known of other processes ----------------------------------------------------

  /** Whether the state service has answered lately. */
  public boolean isStoreReachable() {
    return storeReachability.isReachable(now);
  }

  /** When the state service last answered; NEVER if it has not. */
  public MonotonicTime storeLastAnsweredAt() {
    return storeReachability.lastAnsweredAt();
  }

  /** When the state service began to answer again after it had not, or first. */
  public MonotonicTime storeReachableSince() {
    return storeReachability.reachableSince();
  }

  /** Another controller has answered, whatever it was asked, or asks something. */
  public void recordPeerContact() {
    lastPeerContactAt = now;
  }

  /** For how many milliseconds no other controller has been heard; very many if none ever was. */
  public long msSincePeerContact() {
    return now.since(lastPeerContactAt);
  }

  // ---- bounds ------------------------------------------------------------------------------

  /**
   * Allots this controller its part of what the state service takes.
   *
   * @param shardFraction the part of all shards that it owns, from 0 to 1
   */
  public void allotStoreBudget(double shardFraction, boolean isLeading) {
    budget.allot(shardFraction, isLeading);
  }

  /**
   * The greatest age, in milliseconds, of what an owner knows of confirmed cancellations while it
   * renews workers' leases.
   */
  public long maxCancellationStalenessMs() {
    return cancellationStalenessLimit.maxStalenessMs();
  }

  /** Whether the platform leaves enough time between the lease and the end of cancelled tasks. */
  public boolean canCancelInTime() {
    return cancellationStalenessLimit.isSafe();
  }

  // ---- outputs -----------------------------------------------------------------------------

  /** Answers a request. */
  public void reply(long reply, int status, JsonNode body) {
    outputs.reply(reply, status, body, 0);
  }

  /** Answers a request, which may be repeated after so many seconds. */
  public void replyWithRetryAfter(long reply, int status, JsonNode body, int retryAfterS) {
    outputs.reply(reply, status, body, retryAfterS);
  }

  /** Logs an event of normal service. */
  public void info(String format, Object... args) {
    outputs.log(Output.Level.INFO, String.format(format, args));
  }

  /**
   * Logs an event that a large fleet has often: no more than a few lines a second; those left out
   * are counted.
   *
   * @param format of the event's fields
   */
  public void infoLimited(String event, String format, Object... args) {
    if (logLimiter.tryLog(event, now)) {
      info(event + " " + format, args);
    } else {
      count("log.left_out");
    }
  }

  /** Logs an event that somebody should look at. */
  public void error(String format, Object... args) {
    outputs.log(Output.Level.ERROR, String.format(format, args));
  }

  /** A key of the state service holds nothing that this version reads; it is left alone. */
  public void reportUnreadableValue(String key) {
    reportRefusal("state.unreadable", "store.value.unreadable key=" + key);
  }

  /** Something from outside was refused: counted, and logged at a bounded rate. */
  public void reportRefusal(String metric, String event) {
    outputs.reportRefusal(metric, event, now);
  }

  /** Raises a counter by one. */
  public void count(String metric) {
    outputs.count(metric, 1);
  }

  /** Raises a counter. */
  public void count(String metric, long by) {
    outputs.count(metric, by);
  }

  /** Sets a gauge. */
  public void gauge(String metric, double value) {
    outputs.gauge(metric, value);
  }
}
