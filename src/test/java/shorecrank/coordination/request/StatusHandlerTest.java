package shorecrank.coordination.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import shorecrank.coordination.model.CancellationLog;
import shorecrank.coordination.request.OwnerQueries.OwnerAnswer;
import shorecrank.coordination.step.Output;
import shorecrank.coordination.step.StepDriver;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Json;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.protocol.UserMessages.JobStatus;

/** Tests where a controller looks for the status that a user asks for. */
class StatusHandlerTest {
  private static final ShardId SHARD = new ShardId(2);
  private static final JobStatus RUNNING = new JobStatus(JobState.RUNNING, 1, 3);

  private final StepDriver driver = new StepDriver();
  private final FakeOwners owners = new FakeOwners();
  private final CancellationLog cancellations =
      new CancellationLog(driver.context(), job -> {}, owner -> {});
  private final QueryAnswerMonitor monitor = new QueryAnswerMonitor(driver.context());
  private final StatusHandler handler =
      new StatusHandler(
          driver.context(),
          cancellations,
          new JobLookup(driver.context(), cancellations),
          new UserReplies(driver.context(), (request, onFailure) -> false, monitor),
          owners,
          monitor);

  /** Keeps the queries, so that tests can answer them. */
  private static final class FakeOwners implements OwnerQueries {
    final List<Optional<ShardId>> askedShards = new ArrayList<>();
    final List<Consumer<Optional<OwnerAnswer>>> callbacks = new ArrayList<>();

    @Override
    public QuerySource locate(Optional<ShardId> shard) {
      return QuerySource.OWNER_REMOTE;
    }

    @Override
    public void query(
        Optional<ShardId> shard, JobId job, Consumer<Optional<OwnerAnswer>> callback) {
      askedShards.add(shard);
      callbacks.add(callback);
    }
  }

  @BeforeEach
  void reachStore() {
    driver.now(() -> driver.context().store().read("any", 100, result -> {}));
    driver.answer(404);
  }

  private void ask(String job) {
    driver.now(
        () -> handler.answer(new UserRequest(1, "GET", "/api/jobs/" + job, null, false), job));
  }

  private void answerAsOwner(Optional<JobStatus> status) {
    Consumer<Optional<OwnerAnswer>> callback = owners.callbacks.remove(0);
    driver.now(() -> callback.accept(status.map(found -> new OwnerAnswer(SHARD, found))));
  }

  private int replyStatus() {
    List<Output.Reply> replies = driver.takeReplies();
    assertEquals(1, replies.size());
    return replies.get(0).status();
  }

  private void exhaustBudget() {
    driver.now(() -> driver.context().requestBudget().take(1000, driver.context().now()));
  }

  @Test
  void aJobThatThisProcessHasNotSeenIsAskedOfItsOwnerWithoutAStateRequest() {
    exhaustBudget();
    ask("wk-1");
    assertEquals(List.of(Optional.empty()), owners.askedShards);
    answerAsOwner(Optional.of(RUNNING));
    assertEquals(200, replyStatus());
    assertEquals(List.of(), driver.openPaths());
  }

  @Test
  void theShardWhoseOwnerAnsweredIsAskedNextTime() {
    ask("wk-1");
    answerAsOwner(Optional.of(RUNNING));
    ask("wk-1");
    assertEquals(List.of(Optional.empty(), Optional.of(SHARD)), owners.askedShards);
  }

  @Test
  void aJobThatAnOwnerReportedAsDoneIsAnsweredFromMemory() {
    ask("wk-1");
    answerAsOwner(Optional.of(new JobStatus(JobState.DONE, 3, 0)));
    driver.takeReplies();
    exhaustBudget();
    ask("wk-1");
    assertEquals(200, replyStatus());
    assertEquals(1, owners.askedShards.size());
    assertEquals(List.of(), driver.openPaths());
  }

  @Test
  void aJobThatNoOwnerKnowsIsReadFromTheRecords() {
    ask("wk-1");
    answerAsOwner(Optional.empty());
    assertEquals(List.of("/store/j/wk-1"), driver.openPaths());
    driver.answer(404, Json.object().put("ledgerRev", 1));
    assertEquals(List.of("/store/f/wk-1"), driver.openPaths());
    driver.answer(404, Json.object().put("ledgerRev", 1));
    assertEquals(404, replyStatus());
  }

  @Test
  void withoutAnOwnerAndWithoutBudgetTheJobIsNotCalledUnknown() {
    exhaustBudget();
    ask("wk-1");
    answerAsOwner(Optional.empty());
    assertEquals(503, replyStatus());
  }

  @Test
  void aMalformedIdIsUnknownWithoutAnyQuestion() {
    ask("a b");
    assertEquals(404, replyStatus());
    assertTrue(owners.askedShards.isEmpty());
  }

  @Test
  void aCancellationThatAnOwnerReportsIsRecordedAsConfirmed() {
    ask("wk-1");
    answerAsOwner(Optional.of(new JobStatus(JobState.CANCELLED, 0, 0)));
    assertEquals(200, replyStatus());
    assertTrue(cancellations.isCancelled(new JobId("wk-1")));
  }
}
