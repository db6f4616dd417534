package shorecrank.coordination.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeout;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import shorecrank.coordination.model.CancellationLog;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.JobBuilder;
import shorecrank.coordination.model.TeamQuotas;
import shorecrank.coordination.scheduling.DependencyGraph;
import shorecrank.coordination.step.StepDriver;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.Json;
import shorecrank.protocol.StoreMessages.Change;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.protocol.UserMessages.JobStatus;
import shorecrank.storage.JobRecord;

/** Tests that an owner answers for its jobs only as of a read that was sent after the query. */
class StatusQueriesTest {
  private static final Epoch EPOCH = new Epoch(5);
  private static final long LISTED_REVISION = 10;
  private static final int LONG_CHAIN = 5000;
  private static final JobStatus QUEUED = new JobStatus(JobState.QUEUED, 0, 0);

  private final StepDriver driver = new StepDriver();
  private final ShardLease lease = new ShardLease(driver.context(), new ShardId(0), EPOCH);
  private final ShardJobs jobs =
      new ShardJobs(driver.context(), new TeamQuotas(driver.context().config().teams(), List.of()));
  private final DependencyGraph dependencies =
      new DependencyGraph(
          driver.context(),
          jobs.all(),
          new CancellationLog(driver.context(), id -> {}, owner -> {}),
          Job::cancel);
  private final RecordChangeFeed feed = new RecordChangeFeed(driver.context(), new Applier());
  private final StatusQueries queries =
      new StatusQueries(driver.context(), lease, jobs, dependencies, feed);
  private final List<Optional<JobStatus>> answers = new ArrayList<>();

  /** Shows the changes to the jobs, as the shard's owner does. */
  private final class Applier implements RecordChangeFeed.Listener {
    @Override
    public void onChange(Change change) {
      jobs.all().values().stream()
          .filter(job -> JobRecord.liveKey(job.id()).equals(change.key()))
          .forEach(job -> job.record().observe(change));
    }

    @Override
    public void onCompacted() {}
  }

  @BeforeEach
  void own() {
    driver.after(1000, () -> lease.renew(EPOCH, new MonotonicTime(100_000)));
    driver.now(() -> feed.start(LISTED_REVISION, new MonotonicTime(1000)));
  }

  private Job add(JobBuilder builder) {
    Job job = jobs.add(builder.record(), new Revision(LISTED_REVISION));
    dependencies.add(job);
    return job;
  }

  private void ask(int job) {
    driver.now(() -> queries.query(JobBuilder.id(job), answers::add));
  }

  private void runRound() {
    driver.after(StepDriver.SETTINGS.roundMs(), queries::answerPending);
  }

  private static ObjectNode changes(long revision) {
    ObjectNode answer = Json.object().put("ledgerRev", revision);
    answer.putArray("news");
    return answer;
  }

  private static ObjectNode changed(long revision, JobRecord record) {
    ObjectNode answer = changes(revision);
    ObjectNode change = answer.withArray("news").addObject();
    change.put("write", JobRecord.liveKey(record.spec().id())).set("data", record.write());
    change.put("stamp", revision);
    return answer;
  }

  @Test
  void oneReadAnswersForAnyNumberOfJobsAndDependencies() {
    for (int number = 1; number <= 1000; number++) {
      add(number == 1 ? JobBuilder.job(1) : JobBuilder.job(number).dependsOn(number - 1));
    }
    for (int number = 1; number <= 1000; number++) {
      ask(number);
    }
    runRound();
    assertEquals(1, driver.openCalls().size());
    assertEquals(List.of(), answers, "not before the read is answered");
    driver.answer(200, changes(LISTED_REVISION));
    assertEquals(1000, answers.size());
    answers.forEach(answer -> assertEquals(Optional.of(QUEUED), answer));
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void answersAboutALongChainDoNotDelayTheRenewalOfLeases(boolean isFirstOfOtherShard) {
    for (int number = 1; number <= LONG_CHAIN; number++) {
      boolean isFirst = number == 1 && !isFirstOfOtherShard;
      add(isFirst ? JobBuilder.job(1) : JobBuilder.job(number).dependsOn(number - 1));
    }
    for (int number = 1; number <= LONG_CHAIN; number++) {
      ask(number);
    }
    runRound();
    driver.openCalls().removeIf(call -> !call.path().startsWith("/changes"));
    assertTimeout(
        Duration.ofMillis(StepDriver.SETTINGS.heartbeatIntervalMs()),
        () -> driver.answer(200, changes(LISTED_REVISION)));
    Optional<JobStatus> expected = isFirstOfOtherShard ? Optional.empty() : Optional.of(QUEUED);
    assertEquals(Collections.nCopies(LONG_CHAIN, expected), answers);
  }

  @Test
  void aQueryThatArrivesDuringAReadWaitsForTheNextOne() {
    add(JobBuilder.job(1));
    ask(1);
    runRound();
    ask(1);
    driver.answer(200, changes(LISTED_REVISION));
    assertEquals(1, answers.size());
    runRound();
    driver.answer(200, changes(LISTED_REVISION));
    assertEquals(2, answers.size());
  }

  @Test
  void theAnswerIsThatOfTheRecordThatTheReadShows() {
    Job job = add(JobBuilder.job(1));
    ask(1);
    runRound();
    JobRecord cancelled = job.toRecord(EPOCH, new WriterId("n2.7")).markedCancelled();
    driver.answer(200, changed(LISTED_REVISION + 1, cancelled));
    assertEquals(JobState.CANCELLED, answers.get(0).orElseThrow().state());
  }

  @Test
  void aJobWithADependencyThatIsNotOfTheShardIsNotAnswered() {
    add(JobBuilder.job(1).dependsOn(99));
    ask(1);
    runRound();
    // The graph looks up the dependency itself; its calls are not of interest here.
    driver.openCalls().removeIf(call -> !call.path().startsWith("/changes"));
    driver.answer(200, changes(LISTED_REVISION));
    assertEquals(List.of(Optional.empty()), answers);
  }

  @Test
  void aQueryIsReadForAtOnceUnlessAReadIsInProgressOrRecent() {
    add(JobBuilder.job(1));
    ask(1);
    driver.now(queries::answerPending);
    assertEquals(1, driver.openCalls().size(), "before the next round");
    ask(1);
    driver.now(queries::answerPending);
    assertEquals(1, driver.openCalls().size(), "one read at a time");
    driver.answer(200, changes(LISTED_REVISION));
    assertEquals(0, driver.openCalls().size(), "the last read is recent");
    assertEquals(1, answers.size());
    runRound();
    driver.answer(200, changes(LISTED_REVISION));
    assertEquals(2, answers.size());
  }

  @Test
  void aReadWithoutAnAnswerIsRepeatedWhileTheAskerWaits() {
    add(JobBuilder.job(1));
    ask(1);
    runRound();
    driver.answer(429);
    assertEquals(List.of(), answers);
    runRound();
    driver.answer(200, changes(LISTED_REVISION));
    assertEquals(List.of(Optional.of(QUEUED)), answers);
  }

  @Test
  void aQueryIsRefusedOnceItsAskerHasLeft() {
    add(JobBuilder.job(1));
    ask(1);
    runRound();
    driver.after(1100, () -> {});
    driver.answer(0);
    assertEquals(List.of(Optional.empty()), answers);
  }

  @Test
  void nothingIsAnsweredWithoutALeaseOrWhileTheRecordsAreListed() {
    add(JobBuilder.job(1));
    ask(1);
    driver.after(200_000, queries::answerPending);
    assertEquals(List.of(Optional.empty()), answers, "the lease has expired since the query");
    ask(1);
    assertEquals(2, answers.size());
    driver.now(() -> lease.renew(EPOCH, new MonotonicTime(900_000)));
    driver.now(feed::stop);
    ask(1);
    assertEquals(3, answers.size());
    assertEquals(List.of(), driver.openPaths());
  }

  @Test
  void theEndOfAJobIsAnsweredWithoutARead() {
    JobStatus done = new JobStatus(JobState.DONE, 1, 0);
    driver.now(() -> queries.recordEnded(JobBuilder.id(1), done));
    ask(1);
    assertEquals(List.of(Optional.of(done)), answers);
  }
}
