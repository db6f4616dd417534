package shorecrank.coordination.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static shorecrank.coordination.model.JobBuilder.job;
import static shorecrank.coordination.model.MachineBuilder.machine;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import shorecrank.coordination.model.JobBuilder;
import shorecrank.coordination.model.Machine;
import shorecrank.coordination.model.MachineBuilder;
import shorecrank.protocol.Ids.MonotonicTime;

/**
 * Tests the choice of a machine for a task. Heartbeats come every 4 s; machines fetch images at 0.5
 * GB/s.
 */
class BinPackingTest {
  private static final MonotonicTime NOW = new MonotonicTime(100_000);
  private static final BinPacking.Clock CLOCK = new BinPacking.Clock(NOW, 4);
  private static final int SAMPLE_SIZE = 3;

  private final SplittableRandom random = new SplittableRandom(1);
  private final List<Machine> machines = new ArrayList<>();

  private Machine add(MachineBuilder builder) {
    Machine machine = builder.build();
    machines.add(machine);
    return machine;
  }

  private static MachineBuilder heardMsAgo(int number, long ms) {
    return machine(number).heardAt(NOW.plus(-ms));
  }

  private Machine choose(JobBuilder job, int tasks, String zone) {
    BinPacking.Request request = new BinPacking.Request(job.spec(), tasks, zone, CLOCK);
    return BinPacking.choose(request, machines, SAMPLE_SIZE, random);
  }

  @Test
  void theMachineWithTheFewestProcessorsLeftIsChosen() {
    add(heardMsAgo(1, 0).with(16, 0));
    Machine best = add(heardMsAgo(2, 0).with(8, 0));
    add(heardMsAgo(3, 0).with(2, 0));
    assertSame(best, choose(job(1).tasks(2, 4, 0), 2, null));
  }

  @Test
  void aMachineWithTheImageIsPreferredToABetterFit() {
    JobBuilder job = job(1).tasks(1, 4, 0).imageGb(2);
    Machine withImage = add(heardMsAgo(1, 0).with(16, 0));
    add(heardMsAgo(2, 0).with(4, 0));
    withImage.addImage(job.spec());
    assertSame(withImage, choose(job, 1, null));
  }

  @Test
  void aMachineWithAnEarlierHeartbeatIsPreferredToABetterFit() {
    Machine earlier = add(heardMsAgo(1, 3500).with(16, 0));
    add(heardMsAgo(2, 500).with(4, 0));
    assertSame(earlier, choose(job(1).tasks(1, 4, 0), 1, null));
  }

  @ParameterizedTest
  @CsvSource(
      nullValues = "-",
      value = {
        // processors and accelerators of the task, required zone, chosen machine
        "4, 0, -, m-1",
        "4, 0, b, m-2",
        "4, 1, -, m-3",
        "16, 0, -, m-2",
        "17, 0, -, -",
        "4, 1, b, -",
        "4, 0, c, -",
      })
  void onlyMachinesInTheZoneWithEnoughResourcesAreChosen(
      double cpus, double gpus, String zone, String expected) {
    add(heardMsAgo(1, 0).with(4, 0).inZone("a"));
    add(heardMsAgo(2, 0).with(16, 0).inZone("b"));
    add(heardMsAgo(3, 0).with(8, 1).inZone("a"));
    Machine chosen = choose(job(1).tasks(1, cpus, gpus), 1, zone);
    assertEquals(expected, chosen == null ? null : chosen.name().value());
  }

  @Test
  void allMachinesAreComparedIfNoneOfTheSampleFits() {
    for (int number = 0; number < 1000; number++) {
      add(heardMsAgo(number, 0).with(1, 0));
    }
    Machine only = add(heardMsAgo(1000, 0).with(8, 0));
    for (int attempt = 0; attempt < 20; attempt++) {
      assertSame(only, choose(job(1).tasks(1, 2, 0), 1, null));
    }
  }

  @Test
  void noMachineIsChosenIfThereIsNone() {
    assertNull(choose(job(1), 1, null));
  }
}
