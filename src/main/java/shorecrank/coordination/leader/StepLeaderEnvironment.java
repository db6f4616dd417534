package shorecrank.coordination.leader;

import com.fasterxml.jackson.databind.JsonNode;
import shorecrank.coordination.step.StepContext;
import shorecrank.leadership.LeaderEnvironment;
import shorecrank.protocol.Ids.MonotonicTime;

/** What a rollout sees of the core: its time, its calls of the state service, its log. */
public final class StepLeaderEnvironment implements LeaderEnvironment {
  private static final int CALL_MS = 2000;

  private final StepContext ports;

  public StepLeaderEnvironment(StepContext ports) {
    this.ports = ports;
  }

  @Override
  public MonotonicTime now() {
    return ports.now();
  }

  @Override
  public long wallMs() {
    return ports.wallMs();
  }

  @Override
  public void state(String method, String path, JsonNode body, OnAnswer then) {
    ports.state(method, path, body, CALL_MS, then::answer);
  }

  @Override
  public boolean hasWrites(int changes) {
    return ports.writes.has(changes, ports.now());
  }

  @Override
  public boolean takeWrites(int changes) {
    return ports.writes.tryTake(changes, ports.now());
  }

  @Override
  public boolean takeRequest() {
    // The call itself takes it.
    return ports.requests.has(1, ports.now());
  }

  @Override
  public double changesPerSecond() {
    return ports.config.state().writeRps();
  }

  @Override
  public int transactionOperations() {
    return ports.config.state().txnOps();
  }

  @Override
  public int valueBytes() {
    return (int) (ports.config.state().valueKb() * 1024);
  }

  @Override
  public void info(String format, Object... args) {
    ports.info(format, args);
  }

  @Override
  public void refused(String metric, String what) {
    ports.refused(metric, what);
  }

  @Override
  public void gauge(String metric, double value) {
    ports.gauge(metric, value);
  }

  @Override
  public void count(String metric, long by) {
    ports.count(metric, by);
  }
}
