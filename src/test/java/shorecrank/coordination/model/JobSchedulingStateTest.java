package shorecrank.coordination.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;

/** Tests when dependencies and failures allow a job's tasks to be placed. */
class JobSchedulingStateTest {
  private static final MonotonicTime NOW = new MonotonicTime(1000);

  @Test
  void jobIsReadyOnceItsLastDependencyIsMet() {
    Job job = JobBuilder.job(3).dependsOn(1, 2).acceptedAtMs(5).build();
    assertEquals(0, job.queuedTaskCount());
    assertFalse(job.scheduling().recordDependencyMet(JobBuilder.id(1), 100));
    assertEquals(5, job.scheduling().readyAtMs(), "one dependency is not met");
    assertTrue(job.scheduling().recordDependencyMet(JobBuilder.id(2), 200));
    assertEquals(200, job.scheduling().readyAtMs());
    assertEquals(1, job.queuedTaskCount());
  }

  @ParameterizedTest
  @CsvSource({
    // failures, each on another machine; whether the machine is known not to be at fault for the
    // last one; pause before the next start in ms; whether the job is taken to be at fault
    "1, false, 300, false",
    "2, false, 300, false",
    "3, false, 2000, true",
    "1, true, 2000, true",
    "4, false, 4000, true",
    "20, false, 64000, true",
  })
  void jobThatFailsOnManyMachinesIsAtFault(
      int failures, boolean isLastJobsFault, long pauseMs, boolean isAtFault) {
    JobSchedulingState state = JobBuilder.job(1).build().scheduling();
    boolean atFault = false;
    for (int i = 1; i <= failures; i++) {
      atFault =
          state.recordFailure(new MachineName("m-" + i), isLastJobsFault && i == failures, NOW);
    }
    assertEquals(isAtFault, atFault);
    assertEquals(isAtFault, state.isBackingOff());
    assertFalse(state.isPauseOver(NOW.plus(pauseMs)));
    assertTrue(state.isPauseOver(NOW.plus(pauseMs + 1)));
  }

  @Test
  void successClearsFailures() {
    JobSchedulingState state = JobBuilder.job(1).build().scheduling();
    MachineName machine = new MachineName("m-1");
    state.recordFailure(machine, true, NOW);
    assertTrue(state.hasFailedOn(machine));
    state.recordSuccess();
    assertFalse(state.hasFailed());
    assertFalse(state.isBackingOff());
  }
}
