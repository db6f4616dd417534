package shorecrank.coordination.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static shorecrank.coordination.model.JobBuilder.job;
import static shorecrank.coordination.model.MachineBuilder.machine;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.HeartbeatMessages.WorkerReachability;
import shorecrank.protocol.Ids.MonotonicTime;

/**
 * Tests what follows from the silence of workers. Heartbeats arrive every 4 s, leases last 30 s,
 * and an earlier owner may renew the leases for a grace period of 60 s.
 */
class WorkerLivenessTest {
  private static final MonotonicTime GRANTED_AT = new MonotonicTime(1_000_000);

  private final StepContext context = new StepContextBuilder().build();
  private final List<Machine> machines = new ArrayList<>();
  private final WorkerLiveness liveness = new WorkerLiveness(context, machines, GRANTED_AT);

  private void advanceToMsAfterGrant(long ms) {
    context.begin(GRANTED_AT.plus(ms), 0, 1);
  }

  private void add(MachineBuilder builder) {
    machines.add(builder.build());
  }

  @ParameterizedTest
  @CsvSource({
    // ms since the last heartbeat, whether it is fresh, whether the worker's lease has certainly
    // expired
    "0, true, false",
    "11499, true, false",
    "11500, false, false",
    "31060, false, false",
    "31061, false, true",
  })
  void heartbeatIsFreshAndThenTheLeaseExpires(long silentMs, boolean fresh, boolean expired) {
    Machine machine = machine(1).heardAt(GRANTED_AT).build();
    advanceToMsAfterGrant(silentMs);
    assertEquals(fresh, liveness.isFresh(machine), "fresh");
    assertEquals(expired, liveness.isLeaseExpired(machine), "lease expired");
  }

  @ParameterizedTest
  @CsvSource({
    // ms since the shard was granted, whether the worker's lease has certainly expired: 30 s after
    // the grace period of 60 s, with a margin
    "31061, false",
    "92180, false",
    "92181, true",
  })
  void leaseOfAnUnconfirmedWorkerExpiresOnlyAfterTheGracePeriod(long ms, boolean expired) {
    Machine unheard = machine(1).build();
    Machine unconfirmed = machine(2).heardAt(GRANTED_AT.plus(-1)).unconfirmed().build();
    advanceToMsAfterGrant(ms);
    assertEquals(expired, liveness.isLeaseExpired(unheard), "never heard");
    assertEquals(expired, liveness.isLeaseExpired(unconfirmed), "unconfirmed");
  }

  @Test
  void heartbeatIsNotFreshBeforeItIsReconciled() {
    Machine machine = machine(1).heardAt(GRANTED_AT).build();
    advanceToMsAfterGrant(0);
    assertTrue(liveness.isFresh(machine), "reconciled");
    machine.session().clearReconciled();
    assertFalse(liveness.isFresh(machine), "not reconciled");
  }

  @Test
  void silenceBeforeTheGrantDoesNotCount() {
    Machine machine = machine(1).heardAt(GRANTED_AT.plus(-50_000)).build();
    advanceToMsAfterGrant(300);
    assertEquals(300, liveness.silentMs(machine));
  }

  @ParameterizedTest
  @CsvSource({
    // ms since the shard was granted, number of overdue workers: one of two was last heard at the
    // grant, the other one before the grant
    "7000, 0",
    "7001, 1",
    "12000, 1",
    "12001, 2",
  })
  void workersOfThePreviousOwnerAreOverdueLater(long ms, int overdue) {
    add(machine(1).heardAt(GRANTED_AT));
    add(machine(2).heardAt(GRANTED_AT.plus(-1)));
    advanceToMsAfterGrant(ms);
    assertEquals(overdue, liveness.reachability().overdue());
  }

  @Test
  void workersWhoseHeartbeatsArriveButDoNotShowTheEpochAreNotOverdue() {
    Machine machine = machine(1).heardAt(GRANTED_AT).build();
    machines.add(machine);
    machine.session().recordUnconfirmed(machine.session().lastHeartbeat(), GRANTED_AT.plus(9000));
    advanceToMsAfterGrant(16_000);
    assertEquals(0, liveness.reachability().overdue());
    assertFalse(liveness.isFresh(machine), "an unconfirmed heartbeat shows no tasks");
    advanceToMsAfterGrant(16_001);
    assertEquals(1, liveness.reachability().overdue());
  }

  @Test
  void zoneIsUnreachableIfMostOfItsWorkersAreOverdue() {
    MonotonicTime now = GRANTED_AT.plus(20_000);
    add(machine(1).inZone("a").heardAt(now));
    add(machine(2).inZone("a").heardAt(GRANTED_AT));
    add(machine(3).inZone("b").heardAt(now));
    add(machine(4).inZone("b").heardAt(GRANTED_AT));
    add(machine(5).inZone("b").heardAt(GRANTED_AT));
    add(machine(6).inZone("b"));
    advanceToMsAfterGrant(20_000);
    assertEquals(new WorkerReachability(5, 3, List.of("b")), liveness.reachability());
  }

  @Test
  void heartbeatIsExpectedFromAMachineWithTasksThatWasNeverHeard() {
    Machine machine = machine(1).build();
    machine.addUnrecordedTask(job(1).build(), 0);
    machines.add(machine);
    advanceToMsAfterGrant(20_000);
    assertEquals(new WorkerReachability(1, 1, List.of("a")), liveness.reachability());
  }

  @ParameterizedTest
  @CsvSource({
    // workers heard, workers overdue, whether fewer than two thirds are heard
    "3, 0, false",
    "2, 1, false",
    "1, 1, true",
    "0, 1, true",
  })
  void missesManyWorkersIfFewerThanTwoThirdsAreHeard(int heard, int overdue, boolean many) {
    for (int number = 0; number < heard; number++) {
      add(machine(number).heardAt(GRANTED_AT.plus(20_000)));
    }
    for (int number = 0; number < overdue; number++) {
      add(machine(heard + number).heardAt(GRANTED_AT));
    }
    advanceToMsAfterGrant(20_000);
    assertEquals(many, liveness.isMissingManyWorkers());
  }

  @Test
  void noWorkerIsOverdueWhileHeartbeatsWaitToBeProcessed() {
    add(machine(1).heardAt(GRANTED_AT));
    advanceToMsAfterGrant(20_000);
    context.recordHeartbeatsDelayed();
    assertEquals(new WorkerReachability(1, 0, List.of()), liveness.reachability());
    advanceToMsAfterGrant(31_999);
    assertEquals(0, liveness.reachability().overdue());
    advanceToMsAfterGrant(32_000);
    assertEquals(1, liveness.reachability().overdue());
  }
}
