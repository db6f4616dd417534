package shorecrank.coordination.step;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import shorecrank.config.NodeConfig;
import shorecrank.config.NodeConfig.WorkerTimings;
import shorecrank.protocol.Ids.MonotonicTime;

/** Tests the reachability of the state service, rate limits and reports of refusals. */
class StepContextTest {
  private final StepDriver driver = new StepDriver();
  private final StepContext context = driver.context();

  private void readAndAnswer(int status) {
    driver.now(() -> context.store().read("k", 1000, result -> {}));
    driver.answer(status);
  }

  @ParameterizedTest
  @CsvSource({"200, true", "404, true", "429, true", "500, false", "503, false", "0, false"})
  void onlyAnAnswerWithoutServerErrorMakesTheServiceReachable(int status, boolean isReachable) {
    readAndAnswer(status);
    assertEquals(isReachable, context.isStoreReachable());
  }

  @Test
  void theServiceStaysReachableForTheConfiguredTimeAfterAnAnswer() {
    readAndAnswer(200);
    driver.after(
        StepDriver.SETTINGS.stateAnswerValidMs() - 1, () -> assertTrue(context.isStoreReachable()));
    driver.after(1, () -> assertFalse(context.isStoreReachable()));
    driver.after(500, () -> {});
    readAndAnswer(200);
    assertEquals(
        new MonotonicTime(StepDriver.SETTINGS.stateAnswerValidMs() + 500),
        context.storeReachableSince());
  }

  @Test
  void aTooManyRequestsAnswerEmptiesTheBudgetsExceptThatOfUserWrites() {
    driver.now(() -> assertTrue(context.requestBudget().has(1, context.now())));
    readAndAnswer(429);
    driver.now(
        () -> {
          assertFalse(context.requestBudget().has(1, context.now()));
          assertFalse(context.writeBudget().has(1, context.now()));
          assertTrue(context.userWriteBudget().has(1, context.now()));
        });
  }

  @Test
  void aSecondAnswerToACallIsIgnored() {
    int[] answers = {0};
    driver.now(() -> context.store().read("k", 1000, result -> answers[0]++));
    Output.Call call = driver.openCalls().get(0);
    driver.answer(404);
    driver.now(() -> context.handleAnswer(new Input.Answer(call.call(), 404, null)));
    assertEquals(1, answers[0]);
  }

  /**
   * With worker leases of 30 s the staleness limit is {@code cancel_s} less 30 s, reduced by 0.2%
   * and by 500 ms, but at least two heartbeat intervals of 4 s plus 1 s.
   */
  @ParameterizedTest
  @CsvSource({"60, 29440, true", "40, 9480, true", "39, 9000, false", "30, 9000, false"})
  void cancellationStalenessIsLimitedByLeaseAndCancellationTime(
      double cancelS, long maxStalenessMs, boolean isSafe) {
    NodeConfig config = StepDriver.CONFIG;
    CancellationStalenessLimit limit =
        new CancellationStalenessLimit(
            new NodeConfig(
                config.label(),
                config.zone(),
                config.publicAddr(),
                config.peerBind(),
                config.members(),
                config.cloudAddr(),
                config.stateAddr(),
                config.teams(),
                config.objectives(),
                new WorkerTimings(4, 30, cancelS),
                config.state(),
                config.cloud(),
                config.limits()));
    assertEquals(maxStalenessMs, limit.maxStalenessMs());
    assertEquals(isSafe, limit.isSafe());
  }

  @Test
  void refusalsWithOneMetricAreAllCountedButLoggedAtALimitedRate() {
    assertEquals(List.of("Count", "Log"), refuse(0));
    assertEquals(List.of("Count"), refuse(4999));
    assertEquals(List.of("Count", "Log"), refuse(5000));
  }

  private List<String> refuse(long atMs) {
    context.begin(new MonotonicTime(atMs), atMs, 1);
    context.reportError("report.malformed", "worker.heartbeat.malformed");
    return context.end().stream().map(output -> output.getClass().getSimpleName()).toList();
  }
}
