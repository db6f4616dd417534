package shorecrank.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import shorecrank.protocol.Json;
import shorecrank.storage.JobRecord;

/** Verifies that the rules about starts and waiting times of tasks report each violation. */
class TaskRulesTest {
  private static final long CANCEL_MS = 40_000;

  private RuleTestWorld world;

  @BeforeEach
  void launch() throws Exception {
    world = new RuleTestWorld("").launch();
  }

  @Test
  void acceptsStartAfterTaskLeftItsMachine() {
    world.accept("wk-1", JobPlan.builder().cpus(8));
    world.checker.stopped(world.machine(1), world.start(1, "wk-1/0"));
    world.start(3, "wk-1/0");
    world.assertNoViolations();
  }

  @Test
  void reportsTaskOnTwoMachines() {
    world.accept("wk-1", JobPlan.builder());
    world.start(1, "wk-1/0");
    world.start(2, "wk-1/0");
    world.assertViolation("ran_twice: wk-1/0 starts on n-000002 while on [n-000001]");
  }

  @Test
  void reportsTaskStartedTwiceOnOneMachine() {
    world.accept("wk-1", JobPlan.builder());
    world.start(1, "wk-1/0");
    world.start(1, "wk-1/0");
    world.assertViolation("ran_twice: wk-1/0 starts on n-000001 while on [n-000001]");
  }

  @Test
  void reportsTeamAboveItsLimit() {
    world.accept("wk-1", JobPlan.builder().tasks(3).cpus(4));
    world.start(1, "wk-1/0");
    world.start(2, "wk-1/1");
    world.assertNoViolations();
    world.start(3, "wk-1/2");
    world.assertViolation("quota: team t uses 12.0");
  }

  @Test
  void reportsRecordedAttemptsAboveTeamsLimit() throws Exception {
    world.accept("wk-1", JobPlan.builder().cpus(8));
    world.accept("wk-2", JobPlan.builder().cpus(1));
    world.write(JobRecord.LIVE_PREFIX + "wk-1", world.record("wk-1", 1).write());
    world.write(JobRecord.LIVE_PREFIX + "wk-1", world.record("wk-1", 2).write());
    world.assertNoViolations();
    world.write(JobRecord.LIVE_PREFIX + "wk-2", world.record("wk-2", 2).write());
    world.write(JobRecord.LIVE_PREFIX + "wk-2", world.record("wk-2", 2).write());
    world.assertViolation("recorded_use: records of team t name 9.0 CPUs");
  }

  @Test
  void recordedAttemptsThatCanNoLongerStartDontCount() throws Exception {
    world.accept("wk-1", JobPlan.builder().cpus(8));
    world.accept("wk-2", JobPlan.builder().cpus(8));
    world.accept("wk-3", JobPlan.builder().cpus(8));
    world.writeEpoch(0, 1);
    world.write(JobRecord.LIVE_PREFIX + "wk-1", world.record("wk-1", 1).write());
    world.commandStart(1, "wk-1/0", 1);
    world.commandStop(1, "wk-1/0", 1);
    world.write(JobRecord.LIVE_PREFIX + "wk-2", world.record("wk-2", 2).markedCancelled().write());
    world.write(JobRecord.LIVE_PREFIX + "wk-3", world.record("wk-3", 3).write());
    world.assertNoViolations();
  }

  @Test
  void reportsTaskInWrongZone() {
    world.accept("wk-1", JobPlan.builder().zone("b"));
    world.start(1, "wk-1/0");
    world.assertViolation("wrong_place: wk-1/0 on n-000001");
  }

  @Test
  void reportsTaskOnForbiddenSpotMachine() {
    world.accept("wk-1", JobPlan.builder().spot(false));
    world.start(2, "wk-1/0");
    world.assertViolation("wrong_place: wk-1/0 on n-000002");
  }

  @Test
  void reportsTaskOnWrongMachineType() {
    world.accept("wk-1", JobPlan.builder().machineType("g8"));
    world.start(1, "wk-1/0");
    world.assertViolation("wrong_place: wk-1/0 on n-000001");
  }

  @Test
  void reportsTogetherTasksInTwoZones() {
    world.accept("wk-1", JobPlan.builder().tasks(3).together(true));
    world.start(1, "wk-1/0");
    world.start(2, "wk-1/1");
    world.assertNoViolations();
    world.start(3, "wk-1/2");
    assertTwoViolations("wrong_place: wk-1/2 apart from wk-1/");
  }

  private void assertTwoViolations(String text) {
    assertEquals(
        2, world.checker.violations().stream().filter(found -> found.contains(text)).count());
  }

  @Test
  void reportsMoreThanHalfOfSpreadTasksInOneZone() {
    world.accept("wk-1", JobPlan.builder().tasks(3).spread(true));
    world.start(1, "wk-1/0");
    world.start(2, "wk-1/1");
    world.assertNoViolations();
    world.start(1, "wk-1/2");
    world.assertViolation("wrong_place: 3 of 3 tasks of wk-1 in a");
  }

  @Test
  void reportsStartAfterCancellationDeadline() {
    world.accept("wk-1", JobPlan.builder().tasks(2));
    world.cancel("wk-1");
    world.sim.runUntil(CANCEL_MS);
    world.checker.stopped(world.machine(1), world.start(1, "wk-1/0"));
    world.assertNoViolations();
    world.sim.runUntil(CANCEL_MS + 1);
    world.start(2, "wk-1/1");
    world.assertViolation("ran_cancelled: wk-1/1 starts on n-000002");
  }

  @Test
  void reportsTaskThatRunsBeyondCancellationDeadline() {
    world.accept("wk-1", JobPlan.builder());
    world.start(1, "wk-1/0");
    world.cancel("wk-1");
    world.sim.runUntil(CANCEL_MS + 250);
    world.assertNoViolations();
    world.sim.runUntil(CANCEL_MS + 750);
    world.assertViolation("ran_cancelled: wk-1/0 is on n-000001");
  }

  @Test
  void reportsStartBeforeDependencyIsDone() {
    world.accept("wk-1", JobPlan.builder());
    world.accept("wk-2", JobPlan.builder().tasks(2).dependencies(List.of("wk-1")));
    world.start(1, "wk-2/0");
    world.assertViolation("too_early: wk-2/0 starts, wk-1 is not recorded as done");
    world.write(JobRecord.FINAL_PREFIX + "wk-1", Json.object().put("p", "done"));
    world.start(2, "wk-2/1");
    world.assertViolation("too_early: wk-2/0");
  }

  @Test
  void reportsStartThatIsNotRecorded() throws Exception {
    world.accept("wk-1", JobPlan.builder().tasks(2));
    world.writeEpoch(0, 1);
    world.write(JobRecord.LIVE_PREFIX + "wk-1", world.record("wk-1", 1).write());
    world.commandStart(1, "wk-1/0", 1);
    world.assertNoViolations();
    world.commandStart(1, "wk-1/1", 1);
    world.assertViolation("started before recorded: wk-1/1 on n-000001");
  }

  @Test
  void reportsReapOfAttemptThatIsRecordedAsLive() throws Exception {
    world.accept("wk-1", JobPlan.builder());
    world.writeEpoch(0, 1);
    world.write(JobRecord.LIVE_PREFIX + "wk-1", world.record("wk-1", 1).write());
    world.commandStart(1, "wk-1/0", 1);
    world.commandStop(1, "wk-1/0", 1);
    world.commandReap(1, "wk-1/0", 1);
    world.assertViolation("reaped before recorded: wk-1/0 on n-000001");
  }

  @Test
  void reportsStartUnderUnallocatedEpoch() {
    world.accept("wk-1", JobPlan.builder());
    world.commandStart(1, "wk-1/0", 7);
    world.assertViolation("start_unallocated: wk-1/0 on n-000001");
  }

  @Test
  void reportsJobThatWaits90SecondsDespiteFreeMachine() {
    world.accept("wk-1", JobPlan.builder());
    world.sim.runUntil(91_500);
    world.assertNoViolations();
    world.sim.runUntil(92_500);
    world.assertViolation("waits: wk-1 for 90 s");
  }

  @Test
  void acceptsWaitingDuringFaultsAndForTeamsLimit() {
    world.accept("wk-1", JobPlan.builder().cpus(8));
    world.start(1, "wk-1/0");
    world.accept("wk-2", JobPlan.builder());
    world.sim.runUntil(200_000);
    world.assertNoViolations();
    world.accept("wk-3", JobPlan.builder().team("u"));
    world.faults.addFault(200_000);
    world.sim.runUntil(400_000);
    world.assertNoViolations();
  }

  @Test
  void reportsClassOfWhichLessThanHalfStart() {
    world.faults.addFault(300_000);
    for (int i = 1; i <= 8; i++) {
      world.accept("wk-" + i, JobPlan.builder().jobClass("c" + i % 2).tasks(i));
      writeFinalRecord("wk-" + i);
    }
    world.start(1, "wk-1/0");
    world.start(2, "wk-7/0");
    for (int i = 2; i <= 8; i += 2) {
      world.start(3, "wk-" + i + "/0");
    }
    world.sim.runUntil(61_000);
    world.checker.end();
    world.assertNoViolations();
    world.accept("wk-9", JobPlan.builder().jobClass("c1"));
    writeFinalRecord("wk-9");
    world.sim.runUntil(125_000);
    world.checker.end();
    world.assertViolation("unserved: 2 of 5 of class c1");
  }

  @Test
  void reportsLargestJobThatStartsAfterFourMinutes() {
    world.accept("wk-1", JobPlan.builder().spread(true));
    writeFinalRecord("wk-1");
    world.sim.runUntil(240_000);
    world.start(1, "wk-1/0");
    world.checker.end();
    world.assertNoViolations();
    world.accept("wk-2", JobPlan.builder().jobClass("d").spread(true));
    writeFinalRecord("wk-2");
    world.sim.runUntil(480_001);
    world.start(2, "wk-2/0");
    world.checker.end();
    world.assertViolation("late: wk-2");
  }

  private void writeFinalRecord(String job) {
    world.write(JobRecord.FINAL_PREFIX + job, Json.object().put("p", "done"));
  }

  @Test
  void reportsClaimIdThatIsReusedForAnotherRequest() {
    rent("r-1", 1);
    rent("r-1", 1);
    world.assertNoViolations();
    rent("r-1", 2);
    world.assertViolation("claim_reused: r-1");
  }

  private void rent(String claim, int count) {
    world.cloud.handle(
        "/hosts",
        Json.object()
            .put("claim", claim)
            .put("hosttype", "p8")
            .put("site", "a")
            .put("loaner", false)
            .put("count", count),
        ReplyHandler.IGNORE);
  }
}
