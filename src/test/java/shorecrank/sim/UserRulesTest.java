package shorecrank.sim;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import shorecrank.protocol.Json;
import shorecrank.sim.UserRequest.Kind;

/** Verifies that the rules about answers to users report each violation. */
class UserRulesTest {
  private static final long CANCEL_MS = 40_000;

  private RuleTestWorld world;

  @BeforeEach
  void launch() throws Exception {
    world = new RuleTestWorld("").launch();
    world.accept("wk-1", JobPlan.builder());
  }

  @Test
  void acceptsAnswersAboutCompletedJob() {
    world.jobs.addResult("wk-1/0");
    world.answer(Kind.SUBMIT, "wk-1", 200, "queued");
    world.answer(Kind.QUERY, "wk-1", 200, "done");
    world.answer(Kind.CANCEL, "wk-1", 409, "done");
    world.answer(Kind.QUERY, "wk-1", 200, "done");
    world.assertNoViolations();
  }

  @Test
  void reportsNotFoundForAcceptedJob() {
    world.answer(Kind.QUERY, "wk-1", 404, "");
    world.assertViolation("forgotten: query wk-1 gets 404");
  }

  @Test
  void acceptsNotFoundForQueryBeforeAcceptance() {
    KnownJobState before = new KnownJobState(false, "", 0, 0);
    world.answer(Kind.QUERY, "wk-1", 404, Json.object(), before);
    world.assertNoViolations();
  }

  @Test
  void reportsRefusedResubmissionOfAcceptedJob() {
    world.answer(Kind.SUBMIT, "wk-1", 422, "");
    world.assertViolation("forgotten: submitting wk-1 again gets 422");
  }

  @Test
  void reportsJobWhoseQueriesStayUnanswered() {
    world.checker.requestFinished("wk-1", 0, false);
    world.checker.requestFinished("wk-1", 75_000, false);
    world.assertNoViolations();
    world.checker.requestFinished("wk-1", 75_001, false);
    world.assertViolation("forgotten: no question about wk-1");
  }

  @Test
  void answerResetsTimeOfUnansweredQueries() {
    world.checker.requestFinished("wk-1", 0, false);
    world.checker.requestFinished("wk-1", 10_000, true);
    world.checker.requestFinished("wk-1", 80_000, false);
    world.assertNoViolations();
  }

  @Test
  void reportsAcceptedJobWithoutRecordAtEnd() {
    world.checker.end();
    world.assertViolation("forgotten: wk-1 is not in the store");
  }

  @Test
  void reportsAnswerAboutJobThatNobodySubmitted() {
    world.answer(Kind.QUERY, "wk-2", 200, "queued");
    world.assertViolation("invented: wk-2");
  }

  @Test
  void reportsDoneAnswerBeforeAllTasksAreDone() {
    world.accept("wk-2", JobPlan.builder().tasks(2));
    world.jobs.addResult("wk-2/0");
    world.answer(Kind.QUERY, "wk-2", 200, "done");
    world.assertViolation("not_done: wk-2");
  }

  @Test
  void reportsRunningAnswerAfterDone() {
    world.jobs.addResult("wk-1/0");
    world.answer(Kind.QUERY, "wk-1", 200, "done");
    world.answer(Kind.QUERY, "wk-1", 200, "running");
    world.assertViolation("went_back: query wk-1 is running after done");
  }

  @Test
  void reportsTwoFinalPhasesEvenForOverlappingRequests() {
    KnownJobState before = world.checker.answers().snapshot("wk-1");
    world.jobs.addResult("wk-1/0");
    world.answer(Kind.QUERY, "wk-1", 200, "done");
    world.jobs.requestCancel("wk-1");
    world.answer(Kind.CANCEL, "wk-1", 200, Json.object().put("phase", "withdrawn"), before);
    world.assertViolation("went_back: wk-1 was done, is withdrawn");
  }

  @Test
  void reportsCancellationThatNobodyRequested() {
    world.answer(Kind.QUERY, "wk-1", 200, "withdrawn");
    world.assertViolation("went_back: wk-1 cancelled unasked");
  }

  @Test
  void acceptsCancellationBecauseOfDependency() {
    world.accept("wk-2", JobPlan.builder().dependencies(List.of("wk-1")));
    world.cancel("wk-1");
    world.answer(Kind.QUERY, "wk-2", 200, "withdrawn");
    world.assertNoViolations();
  }

  @Test
  void reportsFewerCompletedTasksThanBefore() {
    KnownJobState before = world.checker.answers().snapshot("wk-1");
    world.answer(Kind.QUERY, "wk-1", 200, Json.object().put("done", 3), before);
    before = world.checker.answers().snapshot("wk-1");
    world.answer(Kind.QUERY, "wk-1", 200, Json.object().put("done", 2), before);
    world.assertViolation("older: query wk-1");
  }

  @Test
  void reportsDependentThatStaysAfterCancellation() {
    world.accept("wk-2", JobPlan.builder().dependencies(List.of("wk-1")));
    world.cancel("wk-1");
    world.sim.runUntil(CANCEL_MS);
    world.answer(Kind.QUERY, "wk-2", 200, "queued");
    world.assertNoViolations();
    world.sim.runUntil(CANCEL_MS + 1);
    world.answer(Kind.QUERY, "wk-2", 200, "queued");
    world.assertViolation("orphaned: wk-2");
  }
}
