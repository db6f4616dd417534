package shorecrank.coordination.request;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import shorecrank.coordination.step.Input;
import shorecrank.coordination.step.Output;
import shorecrank.coordination.step.StepContext;
import shorecrank.coordination.step.StepDriver;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.Json;

/** Tests what is counted and logged of queries that are not answered. */
class QueryAnswerMonitorTest {
  private final StepContext context =
      new StepContext(StepDriver.CONFIG, StepDriver.SETTINGS, new WriterId("n1.1"));
  private final QueryAnswerMonitor monitor = new QueryAnswerMonitor(context);
  private final List<Output> outputs = new ArrayList<>();
  private long nextReply = 1;

  private void at(long ms, Runnable step) {
    context.begin(new MonotonicTime(ms), ms, 1);
    step.run();
    outputs.addAll(context.end());
  }

  /** Lets the state service answer a call at this time, so that it counts as reachable. */
  private void reachStoreAt(long ms) {
    at(ms, () -> context.store().read("any", 100, result -> {}));
    Output.Call call =
        outputs.stream()
            .filter(Output.Call.class::isInstance)
            .map(Output.Call.class::cast)
            .reduce((first, second) -> second)
            .orElseThrow();
    at(ms, () -> context.handleAnswer(new Input.Answer(call.call(), 404, Json.object())));
  }

  private void query(long ms, int status) {
    UserRequest request = new UserRequest(nextReply++, "GET", "/api/jobs/wk-1", null, false);
    at(
        ms,
        () -> {
          monitor.begin(request, new JobId("wk-1"));
          monitor.recordSource(request, QuerySource.STORE);
          if (status != 200) {
            monitor.recordReason(request, RetryReason.REQUEST_BUDGET_EXHAUSTED);
          }
          context.reply(request.reply(), status, Json.object());
        });
  }

  private long counted(String metric) {
    return outputs.stream()
        .filter(output -> output instanceof Output.Count count && count.metric().equals(metric))
        .count();
  }

  private double gauge(String metric) {
    return outputs.stream()
        .filter(output -> output instanceof Output.Gauge gauge && gauge.metric().equals(metric))
        .mapToDouble(output -> ((Output.Gauge) output).value())
        .reduce((first, second) -> second)
        .orElseThrow();
  }

  @BeforeEach
  void reachStore() {
    reachStoreAt(0);
  }

  @Test
  void queriesAreCountedBySourceAndReason() {
    query(1, 200);
    query(2, 503);
    assertEquals(1, counted("query.answered.store"));
    assertEquals(1, counted("query.unanswered.store.state_requests_are_used_up"));
  }

  @Test
  void aJobUnansweredForTooLongWhileTheStoreAnswersIsOverdue() {
    for (long ms = 1000; ms <= 32_000; ms += 1000) {
      reachStoreAt(ms);
      query(ms, 503);
    }
    assertEquals(1, counted("query.overdue"));
  }

  @Test
  void anAnswerEndsTheTimeWithoutOne() {
    for (long ms = 1000; ms <= 60_000; ms += 1000) {
      reachStoreAt(ms);
      query(ms, ms % 20_000 == 0 ? 200 : 503);
    }
    assertEquals(0, counted("query.overdue"));
  }

  @Test
  void withoutTheStateServiceNoJobIsOverdue() {
    for (long ms = 1000; ms <= 60_000; ms += 1000) {
      query(ms, 503);
    }
    assertEquals(0, counted("query.overdue"));
  }

  @Test
  void theGaugesTellTheOldestUnansweredJobUntilNobodyAsksAboutIt() {
    query(1000, 503);
    at(11_000, monitor::tick);
    assertEquals(1, gauge("query.unanswered.jobs"));
    assertEquals(10_000, gauge("query.unanswered.oldest_ms"));
    at(70_000, monitor::tick);
    assertEquals(0, gauge("query.unanswered.jobs"));
    assertEquals(0, gauge("query.unanswered.oldest_ms"));
  }
}
