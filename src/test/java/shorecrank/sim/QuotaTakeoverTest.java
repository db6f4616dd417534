package shorecrank.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.BitSet;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import shorecrank.protocol.Ids.AttemptNumber;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.Incarnation;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.JobSpecCodec;
import shorecrank.protocol.MalformedMessageException;
import shorecrank.storage.JobRecord;
import shorecrank.storage.JobRecord.AttemptRange;

/**
 * Checks that a shard owner keeps a team within its limit when it takes over records whose tasks
 * together exceed the limit.
 */
class QuotaTakeoverTest {
  private static final String FLEET =
      """
      team t limit=8
      type p8 cpus=8 memory=32 boot=20 zones=a,b
      machines p8 a 3
      capacity 3
      at 100 expect done wk-1,wk-2
      until 110
      """;

  private static final int TASKS = 8;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void startsThatWouldExceedTheTeamsLimitAreWithdrawn(long seed) throws Exception {
    Scenario scenario = new Scenario("over-limit", FLEET);
    scenario.beforeRun(QuotaTakeoverTest::writeRecords);
    assertEquals(List.of(), scenario.play(seed, false));
    assertTrue(
        scenario
            .world()
            .log
            .firstContaining("team.quota.exceeded team=t cpus=16.00 cpus_max=8.00")
            .isPresent());
  }

  private static void writeRecords(World world) {
    writeRecord(world, "wk-1", "n-000001");
    writeRecord(world, "wk-2", "n-000002");
  }

  private static void writeRecord(World world, String job, String machine) {
    JobPlan plan = JobPlan.builder().team("t").tasks(TASKS).cpus(1).runS(10).build();
    world.store.overwrite(JobRecord.LIVE_PREFIX + job, record(job, plan, machine).write());
    world.users.submit(job, plan);
  }

  private static JobRecord record(String job, JobPlan plan, String machine) {
    AttemptRange live =
        new AttemptRange(
            0, TASKS, new MachineName(machine), new Incarnation(1), new AttemptNumber(1));
    try {
      return new JobRecord(
          JobSpecCodec.read(UserRequest.write(job, plan)),
          new Epoch(1),
          new WriterId("earlier"),
          1,
          new BitSet(),
          List.of(live),
          1,
          false,
          1,
          0);
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }
}
