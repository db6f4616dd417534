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
 * The environment of all parts of the state machine: it provides time and random numbers, and takes
 * the calls, replies, log lines and metrics that a step outputs. There is one context per process;
 * its time and random numbers are those of the current step.
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
  private MonotonicTime heartbeatsDelayedAt = MonotonicTime.NEVER;
  private long lastInstanceNumber;
  private ReplyObserver replyObserver = (reply, status) -> {};

  /** Observes the replies to requests. */
  @FunctionalInterface
  public interface ReplyObserver {
    /**
     * Called for each reply, in the step that sends it.
     *
     * @param reply the number that identifies the request
     */
    void onReply(long reply, int status);
  }

  /**
   * Creates the context of a process that has not taken a step yet.
   *
   * @param writer the unique name of this process
   */
  public StepContext(NodeConfig config, Settings settings, WriterId writer) {
    this.config = config;
    this.settings = settings;
    this.writer = writer;
    this.budget = new StoreBudget(config);
    this.cancellationStalenessLimit = new CancellationStalenessLimit(config);
    this.storeReachability = new StoreReachability(settings.stateAnswerValidMs());
  }

  // ---- the step ----------------------------------------------------------------------------

  /**
   * Begins a step.
   *
   * @param now the time on the monotonic clock
   * @param wallMs the time of day, in milliseconds since the Unix epoch
   * @param entropy the seed of the step's random numbers
   */
  public void begin(MonotonicTime now, long wallMs, long entropy) {
    if (startedAt == MonotonicTime.NEVER) {
      startedAt = now;
    }
    this.now = now;
    this.wallMs = wallMs;
    this.random = new SplittableRandom(entropy);
  }

  /** Ends the step and returns its outputs, in the order in which they were added. */
  public List<Output> end() {
    return outputs.removeAll();
  }

  /** Returns the configuration that the platform provides. */
  public NodeConfig config() {
    return config;
  }

  /** Returns the program's own settings. */
  public Settings settings() {
    return settings;
  }

  /** Returns the unique name of this process. */
  public WriterId writer() {
    return writer;
  }

  /** Returns the rate limit of this controller's requests to the state service. */
  public RateLimiter requestBudget() {
    return budget.requests();
  }

  /** Returns the rate limit of this controller's writes that no user waits for. */
  public RateLimiter writeBudget() {
    return budget.writes();
  }

  /**
   * Returns the rate limit of writes that users wait for, which is the full write rate of the state
   * service.
   */
  public RateLimiter userWriteBudget() {
    return budget.userWrites();
  }

  /** Returns when the first step of this process began. */
  public MonotonicTime startedAt() {
    return startedAt;
  }

  /** Returns the time of this step on the monotonic clock. */
  public MonotonicTime now() {
    return now;
  }

  /** Returns the time of day of this step, in milliseconds since the Unix epoch. */
  public long wallMs() {
    return wallMs;
  }

  /** Returns the source of this step's random numbers. */
  public SplittableRandom random() {
    return random;
  }

  /**
   * Returns a number for a new object that writes job records. It is unique within this process, so
   * that the writes of two objects for the same job can be told apart.
   */
  public long nextInstanceNumber() {
    return ++lastInstanceNumber;
  }

  // ---- calls -------------------------------------------------------------------------------

  /** Returns the client of the state service. */
  public StateStore store() {
    return store;
  }

  /** Returns the client for calls to other controllers. */
  public PeerClient peers() {
    return peers;
  }

  /**
   * Calls the state service by HTTP method and path. Typed calls are offered by {@link #store()}.
   *
   * @param body the body to send, or null if there is none
   */
  public void callStore(
      String method, String path, JsonNode body, int timeoutMs, AnswerHandler handler) {
    budget.requests().take(1, now);
    count("state.requests");
    if (body != null && body.has(CHANGES_FIELD)) {
      count("state.writes", body.path(CHANGES_FIELD).size());
    }
    call(Output.Service.STATE, method, path, body, timeoutMs, handler);
  }

  /**
   * Calls the cloud by HTTP method and path.
   *
   * @param body the body to send, or null if there is none
   */
  public void callCloud(
      String method, String path, JsonNode body, int timeoutMs, AnswerHandler handler) {
    call(Output.Service.CLOUD, method, path, body, timeoutMs, handler);
  }

  /** Sends a POST request to a worker. */
  public void callWorker(
      String address, String path, JsonNode body, int timeoutMs, AnswerHandler handler) {
    call(new Output.Worker(address), "POST", path, body, timeoutMs, handler);
  }

  /** Sends a POST request to another controller. Typed calls are offered by {@link #peers()}. */
  public void callPeer(
      ControllerName to, String path, JsonNode body, int timeoutMs, AnswerHandler handler) {
    call(new Output.Peer(to), "POST", path, body, timeoutMs, handler);
  }

  private void call(
      Output.Target target,
      String method,
      String path,
      JsonNode body,
      int timeoutMs,
      AnswerHandler handler) {
    long number = calls.add(target, handler);
    outputs.call(new Output.Call(number, target, method, path, body, timeoutMs));
  }

  /** Passes an answer to the handler of its call. A second answer to the same call is ignored. */
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
    call.handler().handle(answer.status(), answer.body());
  }

  // ---- reachability of other processes -----------------------------------------------------

  /**
   * Reports whether the state service has answered within the {@code stateAnswerValidMs} setting.
   */
  public boolean isStoreReachable() {
    return storeReachability.isReachable(now);
  }

  /**
   * Returns when the state service last answered, or {@link MonotonicTime#NEVER} if it has not
   * answered yet.
   */
  public MonotonicTime storeLastAnsweredAt() {
    return storeReachability.lastAnsweredAt();
  }

  /**
   * Returns when the state service last became reachable: at its first answer, or at the first one
   * after it was unreachable; {@link MonotonicTime#NEVER} if it has not answered yet.
   */
  public MonotonicTime storeReachableSince() {
    return storeReachability.reachableSince();
  }

  /** Records that heartbeats that were received have waited for long to be processed. */
  public void recordHeartbeatsDelayed() {
    heartbeatsDelayedAt = now;
    count("heartbeats.delayed");
  }

  /**
   * Returns when heartbeats had last waited for long; {@link MonotonicTime#NEVER} if that has not
   * happened.
   */
  public MonotonicTime heartbeatsDelayedAt() {
    return heartbeatsDelayedAt;
  }

  /** Records that a message from another controller has arrived: an answer or a heartbeat. */
  public void recordPeerContact() {
    lastPeerContactAt = now;
  }

  /**
   * Returns the milliseconds since the last message from another controller; a very large number if
   * there was none.
   */
  public long msSincePeerContact() {
    return now.since(lastPeerContactAt);
  }

  // ---- limits ------------------------------------------------------------------------------

  /**
   * Sets this controller's share of the state service's request and write rates.
   *
   * @param shardFraction the fraction of all shards that this controller owns, from 0 to 1
   */
  public void allotStoreBudget(double shardFraction, boolean isLeading) {
    budget.allot(shardFraction, isLeading);
  }

  /**
   * Returns how old, in milliseconds, an owner's knowledge of confirmed cancellations may be while
   * it renews workers' leases.
   */
  public long maxCancellationStalenessMs() {
    return cancellationStalenessLimit.maxStalenessMs();
  }

  /**
   * Reports whether {@code cancel_s} exceeds the duration of workers' leases by enough that
   * cancelled tasks end in time also while the state service is unreachable.
   */
  public boolean canCancelInTime() {
    return cancellationStalenessLimit.isSafe();
  }

  // ---- outputs -----------------------------------------------------------------------------

  /**
   * Replies to a request.
   *
   * @param reply the number that identifies the request
   */
  public void reply(long reply, int status, JsonNode body) {
    replyObserver.onReply(reply, status);
    outputs.reply(reply, status, body, 0);
  }

  /**
   * Replies to a request that the sender may repeat later.
   *
   * @param reply the number that identifies the request
   * @param retryAfterS after how many seconds the request may be repeated
   */
  public void replyWithRetryAfter(long reply, int status, JsonNode body, int retryAfterS) {
    replyObserver.onReply(reply, status);
    outputs.reply(reply, status, body, retryAfterS);
  }

  /** Sets the observer of all replies from now on. */
  public void observeReplies(ReplyObserver observer) {
    replyObserver = observer;
  }

  /** Logs an event of normal operation. */
  public void info(String format, Object... args) {
    outputs.log(Output.Level.INFO, String.format(format, args));
  }

  /**
   * Logs an event that is frequent in a large fleet, at a limited rate per event. Lines that are
   * left out are counted in {@code log.left_out}.
   *
   * @param event the event's name
   * @param format the format of the event's fields, as for {@link String#format}
   */
  public void infoLimited(String event, String format, Object... args) {
    if (logLimiter.tryLog(event, now)) {
      info(event + " " + format, args);
    } else {
      count("log.left_out");
    }
  }

  /** Logs an event that an operator should look into. */
  public void error(String format, Object... args) {
    outputs.log(Output.Level.ERROR, String.format(format, args));
  }

  /** Counts and logs a key of the state service whose value this build cannot read. */
  public void reportUnreadableValue(String key) {
    reportError("state.unreadable", "store.value.unreadable key=" + key);
  }

  /**
   * Counts an error and logs it at a limited rate.
   *
   * @param metric the counter; at most one line per counter is logged every few seconds
   * @param event the log line: the event's name and its fields
   */
  public void reportError(String metric, String event) {
    outputs.reportError(metric, event, now);
  }

  /** Increments a counter by one. */
  public void count(String metric) {
    outputs.count(metric, 1);
  }

  /** Increments a counter by the given amount. */
  public void count(String metric, long by) {
    outputs.count(metric, by);
  }

  /** Adds a duration, in milliseconds, to the distribution of a metric. */
  public void duration(String metric, long ms) {
    outputs.duration(metric, ms);
  }

  /** Sets a gauge. */
  public void gauge(String metric, double value) {
    outputs.gauge(metric, value);
  }
}
