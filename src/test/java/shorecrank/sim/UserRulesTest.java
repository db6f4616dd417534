package shorecrank.sim;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import shorecrank.protocol.Json;
import shorecrank.sim.UserRequest.Kind;

/** Wrong answers to users are planted, and the rule that forbids each finds it. */
class UserRulesTest {
  private static final long CANCEL_MS = 40_000;

  private RuleTestWorld world;

  @BeforeEach
  void open() throws Exception {
    world = new RuleTestWorld("").opened();
    world.accept("wk-1", JobPlan.builder());
  }

  @Test
  void aJobThatIsAcceptedAndDoneBreaksNothing() {
    world.jobs.addResult("wk-1/0");
    world.tell(Kind.SUBMIT, "wk-1", 200, "queued");
    world.tell(Kind.QUERY, "wk-1", 200, "done");
    world.tell(Kind.CANCEL, "wk-1", 409, "done");
    world.tell(Kind.QUERY, "wk-1", 200, "done");
    world.assertSound();
  }

  @Test
  void anAcceptedJobThatIsNotFoundIsForgotten() {
    world.tell(Kind.QUERY, "wk-1", 404, "");
    world.assertBroken("forgotten: query wk-1 gets 404");
  }

  @Test
  void aJobIsNotForgottenByAnAnswerToAnEarlierQuestion() {
    KnownJobState before = new KnownJobState(false, "", 0, 0);
    world.tell(Kind.QUERY, "wk-1", 404, Json.object(), before);
    world.assertSound();
  }

  @Test
  void anAcceptedJobThatIsRefusedWhenSubmittedAgainIsForgotten() {
    world.tell(Kind.SUBMIT, "wk-1", 422, "");
    world.assertBroken("forgotten: submitting wk-1 again gets 422");
  }

  @Test
  void aJobWhoseQuestionsStayUnansweredIsForgotten() {
    world.checker.requestFinished("wk-1", 0, false);
    world.checker.requestFinished("wk-1", 75_000, false);
    world.assertSound();
    world.checker.requestFinished("wk-1", 75_001, false);
    world.assertBroken("forgotten: no question about wk-1");
  }

  @Test
  void anAnswerEndsTheTimeOfUnansweredQuestions() {
    world.checker.requestFinished("wk-1", 0, false);
    world.checker.requestFinished("wk-1", 10_000, true);
    world.checker.requestFinished("wk-1", 80_000, false);
    world.assertSound();
  }

  @Test
  void anAcceptedJobWithoutARecordAtTheEndIsForgotten() {
    world.checker.end();
    world.assertBroken("forgotten: wk-1 is not in the store");
  }

  @Test
  void aJobThatNobodySubmittedIsInvented() {
    world.tell(Kind.QUERY, "wk-2", 200, "queued");
    world.assertBroken("invented: wk-2");
  }

  @Test
  void aJobThatIsCalledDoneBeforeItsTasksAreIsNotDone() {
    world.accept("wk-2", JobPlan.builder().tasks(2));
    world.jobs.addResult("wk-2/0");
    world.tell(Kind.QUERY, "wk-2", 200, "done");
    world.assertBroken("not_done: wk-2");
  }

  @Test
  void aJobThatRunsAfterItWasDoneWentBack() {
    world.jobs.addResult("wk-1/0");
    world.tell(Kind.QUERY, "wk-1", 200, "done");
    world.tell(Kind.QUERY, "wk-1", 200, "running");
    world.assertBroken("went_back: query wk-1 is running after done");
  }

  @Test
  void aJobWithTwoEndsWentBackWhicheverWasAskedFirst() {
    KnownJobState before = world.checker.answers().snapshot("wk-1");
    world.jobs.addResult("wk-1/0");
    world.tell(Kind.QUERY, "wk-1", 200, "done");
    world.jobs.requestCancel("wk-1");
    world.tell(Kind.CANCEL, "wk-1", 200, Json.object().put("phase", "withdrawn"), before);
    world.assertBroken("went_back: wk-1 was done, is withdrawn");
  }

  @Test
  void aJobThatIsCancelledUnaskedWentBack() {
    world.tell(Kind.QUERY, "wk-1", 200, "withdrawn");
    world.assertBroken("went_back: wk-1 cancelled unasked");
  }

  @Test
  void aJobMayBeCancelledBecauseOneThatItDependsOnIs() {
    world.accept("wk-2", JobPlan.builder().dependencies(List.of("wk-1")));
    world.cancel("wk-1");
    world.tell(Kind.QUERY, "wk-2", 200, "withdrawn");
    world.assertSound();
  }

  @Test
  void aJobWithFewerTasksDoneThanBeforeIsOlder() {
    KnownJobState before = world.checker.answers().snapshot("wk-1");
    world.tell(Kind.QUERY, "wk-1", 200, Json.object().put("done", 3), before);
    before = world.checker.answers().snapshot("wk-1");
    world.tell(Kind.QUERY, "wk-1", 200, Json.object().put("done", 2), before);
    world.assertBroken("older: query wk-1");
  }

  @Test
  void aJobThatOutlivesOneThatItDependsOnIsOrphaned() {
    world.accept("wk-2", JobPlan.builder().dependencies(List.of("wk-1")));
    world.cancel("wk-1");
    world.sim.runUntil(CANCEL_MS);
    world.tell(Kind.QUERY, "wk-2", 200, "queued");
    world.assertSound();
    world.sim.runUntil(CANCEL_MS + 1);
    world.tell(Kind.QUERY, "wk-2", 200, "queued");
    world.assertBroken("orphaned: wk-2");
  }
}
