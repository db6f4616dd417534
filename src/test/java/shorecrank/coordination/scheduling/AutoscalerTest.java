package shorecrank.coordination.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static shorecrank.coordination.model.JobBuilder.job;
import static shorecrank.coordination.model.MachineBuilder.machine;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.JobBuilder;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.MachineBuilder;
import shorecrank.coordination.model.StepContextBuilder;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.HeartbeatMessages.CapacityRequest;
import shorecrank.protocol.HeartbeatMessages.UnavailableOffer;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;

/**
 * Tests which machines are rented and returned. Queues should be cleared in 120 s, machines boot in
 * 60 s and are kept for 300 s after a demand peak, leases last 30 s and heartbeats come every 4 s.
 * The only machine type has 8 processors and two zones; its spot price is a quarter of the regular
 * price.
 */
class AutoscalerTest {
  private static final long MINUTE_MS = 60_000;

  private final StepContext context =
      new StepContextBuilder().team("vision", 0, 0).team("limited", 0, 4).build();
  private final FakeShard shard = new FakeShard(context);
  private final Autoscaler autoscaler = new Autoscaler(context, shard);

  @BeforeEach
  void addOnlyMachineType() {
    shard.addType(MachineBuilder.type(8, 0));
  }

  private void atMs(long ms) {
    context.begin(new MonotonicTime(ms), ms, 1);
  }

  private MachineBuilder heardAtMs(int number, long ms) {
    return machine(number).heardAt(new MonotonicTime(ms));
  }

  /**
   * Returns a job with tasks of four processors that run for 120 s. Each needs processors of its
   * own to clear the queue in time.
   */
  private static JobBuilder longJob(int tasks) {
    return job(1).tasks(tasks, 4, 0).estimateS(120);
  }

  private String requested() {
    List<String> requests = new ArrayList<>();
    for (CapacityRequest request : autoscaler.capacityRequests()) {
      requests.add(request.count() + " " + request.offer());
    }
    return String.join(", ", requests);
  }

  private void refuse(String zone, long forMs) {
    Offer offer = new Offer("t8", zone, true);
    autoscaler.updateUnavailableOffers(List.of(new UnavailableOffer(offer, forMs)));
  }

  // ---- scale out -------------------------------------------------------------------------------

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      nullValues = "-",
      value = {
        "1  | 1 t8@a/spot",
        "4  | 1 t8@a/spot, 1 t8@b/spot",
        "40 | 10 t8@a/spot, 10 t8@b/spot",
      })
  void theCheapestOffersAreRequestedEvenlyAcrossZones(int tasks, String requests) {
    shard.add(longJob(tasks));
    assertEquals(requests, requested());
  }

  @Test
  void shortTasksRequestOnlyMachinesThatClearTheQueueInTime() {
    shard.add(job(1).tasks(120, 4, 0).estimateS(4));
    assertEquals("1 t8@a/spot, 1 t8@b/spot", requested());
  }

  @Test
  void runningAndBootingMachinesAreNotRequestedAgain() {
    shard.add(longJob(6));
    shard.add(heardAtMs(1, 0));
    shard.add(machine(2));
    atMs(1000);
    // Two of the six tasks lack a machine. Zone b has no machines yet, so it comes first.
    assertEquals("1 t8@b/spot", requested());
  }

  @Test
  void aMachineIsNotCountedOnAfterTwiceItsBootTime() {
    shard.add(longJob(2));
    shard.add(machine(1));
    atMs(2 * MINUTE_MS - 1);
    assertEquals("", requested());
    atMs(2 * MINUTE_MS);
    assertEquals("1 t8@b/spot", requested());
  }

  @Test
  void tasksAboveTheirTeamsLimitRequestNoMachines() {
    shard.add(longJob(40).ofTeam("limited"));
    assertEquals("1 t8@a/spot", requested());
  }

  @Test
  void aRefusedOfferIsSkippedAndThenRequestedInSmallNumbersBesideOthers() {
    shard.add(longJob(60));
    refuse("a", 30_000);
    assertEquals("30 t8@b/spot", requested());
    atMs(30_000);
    assertEquals("10 t8@a/spot, 30 t8@b/spot", requested());
    atMs(MINUTE_MS);
    assertEquals("15 t8@a/spot, 15 t8@b/spot", requested());
  }

  /** Guards against small tasks that wait because the fleet seems to have room for all of them. */
  @Test
  void smallTasksRequestTheMachinesThatCanListThem() {
    JobBuilder smallTasks = job(1).tasks(10_000, 0.0001, 0).memoryGb(0.0001).estimateS(120);
    shard.add(smallTasks);
    int machines = 0;
    for (CapacityRequest request : autoscaler.capacityRequests()) {
      machines += request.count();
    }
    // A heartbeat has at most 64 KiB, and a task takes more than 50 bytes of it.
    int least = 10_000 * 50 / (64 * 1024);
    assertTrue(machines >= least, machines + " machines");
    int atOnce = machine(1).build().fittingTasks(smallTasks.spec());
    assertEquals((10_000 + atOnce - 1) / atOnce, machines, atOnce + " tasks a machine");
  }

  // ---- scale in --------------------------------------------------------------------------------

  private List<String> returned() {
    List<String> names = new ArrayList<>();
    for (MachineName name : autoscaler.scaleIn()) {
      names.add(name.value());
    }
    return names;
  }

  private static void runTaskOn(Machine machine) {
    machine.addUnrecordedTask(job(9).tasks(1, 4, 0).build(), 0);
  }

  @Test
  void anUnneededMachineIsDrainedAfterThePeakWindowAndReturnedWhenIdle() {
    Machine busy = shard.add(heardAtMs(1, 5 * MINUTE_MS));
    Machine idle = shard.add(heardAtMs(2, 5 * MINUTE_MS));
    runTaskOn(busy);
    Job peak = shard.add(longJob(2));
    atMs(1000);
    autoscaler.scaleIn();
    shard.jobs().remove(peak.id());
    atMs(5 * MINUTE_MS);
    assertEquals(List.of(), returned(), "within the peak window");
    assertFalse(idle.isDraining());
    atMs(5 * MINUTE_MS + 1001);
    assertEquals(List.of("m-2"), returned(), "after the peak window");
    assertTrue(idle.isReleasing());
    assertFalse(busy.isDraining());
  }

  @Test
  void aDrainIsCancelledIfQueuedTasksNeedTheMachine() {
    Machine busy = shard.add(heardAtMs(1, 5 * MINUTE_MS));
    Machine draining = shard.add(heardAtMs(2, 5 * MINUTE_MS));
    runTaskOn(busy);
    runTaskOn(draining);
    draining.drain();
    shard.add(longJob(2));
    atMs(5 * MINUTE_MS);
    assertEquals(List.of(), returned());
    assertFalse(draining.isDraining());
  }

  @ParameterizedTest
  @CsvSource({
    // number of heard machines in the zone, milliseconds since the last heartbeat of one more
    // machine, whether that machine is returned
    "2, 16000, false",
    "2, 16001, true",
  })
  void aSingleSilentMachineIsReturnedBeforeItsLeaseExpires(
      int heard, long silentMs, boolean isReturned) {
    Machine silent = shard.add(heardAtMs(0, MINUTE_MS));
    runTaskOn(silent);
    for (int number = 1; number <= heard; number++) {
      runTaskOn(shard.add(heardAtMs(number, MINUTE_MS + silentMs)));
    }
    atMs(MINUTE_MS + silentMs);
    assertEquals(isReturned ? List.of("m-0") : List.of(), returned());
  }

  @ParameterizedTest
  @CsvSource({
    // milliseconds since the last heartbeat of any machine in zone a, whether the
    // machines of zone a are returned
    "90000, false",
    "90001, true",
  })
  void machinesOfASilentZoneAreReturnedAMinuteAfterTheirLeases(long silentMs, boolean isReturned) {
    for (int number = 0; number < 3; number++) {
      runTaskOn(shard.add(heardAtMs(number, MINUTE_MS).inZone("a")));
    }
    for (int number = 3; number < 20; number++) {
      runTaskOn(shard.add(heardAtMs(number, MINUTE_MS + silentMs).inZone("b")));
    }
    atMs(MINUTE_MS + silentMs);
    assertEquals(isReturned ? List.of("m-0", "m-1", "m-2") : List.of(), returned());
  }

  @ParameterizedTest
  @CsvSource({
    // seconds since the machine was assigned, whether it is returned: after five boot times of 60 s
    // and another 120 s
    "420, false",
    "421, true",
  })
  void aMachineThatNeverComesUpIsReturned(long seconds, boolean isReturned) {
    shard.add(machine(1));
    atMs(seconds * 1000);
    assertEquals(isReturned ? List.of("m-1") : List.of(), returned());
  }
}
