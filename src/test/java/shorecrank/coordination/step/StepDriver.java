package shorecrank.coordination.step;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import shorecrank.config.NodeConfig;
import shorecrank.config.NodeConfig.Address;
import shorecrank.config.NodeConfig.CloudLimits;
import shorecrank.config.NodeConfig.Member;
import shorecrank.config.NodeConfig.ProcessLimits;
import shorecrank.config.NodeConfig.StateLimits;
import shorecrank.config.NodeConfig.Team;
import shorecrank.config.NodeConfig.WorkerTimings;
import shorecrank.config.Settings;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.Json;

/**
 * Drives steps of controller n1 of a fleet of three as its process would, and keeps what they want
 * done. The state service takes 100 requests and changes a second and values of 8 kB.
 */
public final class StepDriver {
  /** The configuration of n1. */
  public static final NodeConfig CONFIG = config();

  /** Settings with one shard. */
  public static final Settings SETTINGS =
      new Settings(1, 6000, 2000, 8000, 60_000, 3000, 4, 100, 20, 50, 300, 300, 120);

  private final StepContext context = new StepContext(CONFIG, SETTINGS, new WriterId("n1.1"));
  private final List<Output.Call> calls = new ArrayList<>();
  private final List<Output.Reply> replies = new ArrayList<>();
  private long nowMs;

  private static NodeConfig config() {
    Address nowhere = new Address("127.0.0.1", 1);
    return new NodeConfig(
        new ControllerName("n1"),
        "a",
        nowhere,
        nowhere,
        List.of(
            new Member(new ControllerName("n2"), "a", nowhere),
            new Member(new ControllerName("n3"), "b", nowhere)),
        nowhere,
        nowhere,
        Map.of("vision", new Team("vision", 0, 16, 0, 0)),
        List.of(),
        new WorkerTimings(4, 30, 60),
        new StateLimits(100, 100, 8, 20),
        new CloudLimits(10, 1),
        new ProcessLimits(1, 256, 100));
  }

  /** The context of the steps. */
  public StepContext context() {
    return context;
  }

  /** Takes a step after a while. */
  public void after(long ms, Runnable step) {
    nowMs += ms;
    context.begin(new MonotonicTime(nowMs), nowMs, 1);
    step.run();
    for (Output output : context.end()) {
      if (output instanceof Output.Call call) {
        calls.add(call);
      } else if (output instanceof Output.Reply reply) {
        replies.add(reply);
      }
    }
  }

  /** Takes a step at once. */
  public void now(Runnable step) {
    after(0, step);
  }

  /** Answers the oldest open call in a step. */
  public void answer(int status, JsonNode body) {
    Output.Call call = calls.remove(0);
    now(() -> context.handleAnswer(new Input.Answer(call.call(), status, body)));
  }

  /** Answers the oldest open call without a body. */
  public void answer(int status) {
    answer(status, Json.parse(null));
  }

  /** The calls that have no answer yet, the oldest first. */
  public List<Output.Call> openCalls() {
    return calls;
  }

  /** The paths of the open calls. */
  public List<String> openPaths() {
    return calls.stream().map(Output.Call::path).toList();
  }

  /** Removes all replies. */
  public List<Output.Reply> takeReplies() {
    List<Output.Reply> taken = List.copyOf(replies);
    replies.clear();
    return taken;
  }

  /** Makes a call whose result is kept, answers it, and returns its result. */
  public <T> T resultOf(Consumer<Consumer<T>> call, int status, JsonNode body) {
    List<T> results = new ArrayList<>();
    now(() -> call.accept(results::add));
    answer(status, body);
    if (results.size() != 1) {
      throw new AssertionError("results: " + results);
    }
    return results.get(0);
  }
}
