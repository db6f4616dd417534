package shorecrank.coordination.shard;

import static org.junit.jupiter.api.Assertions.assertTimeout;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.IntUnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import shorecrank.config.Settings;
import shorecrank.coordination.model.CancellationLog;
import shorecrank.coordination.model.JobBuilder;
import shorecrank.coordination.step.DeployedStack;
import shorecrank.coordination.step.Input;
import shorecrank.coordination.step.Output;
import shorecrank.coordination.step.StepDriver;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Json;
import shorecrank.rollout.FeatureGate;
import shorecrank.storage.JobRecord;

/** Tests that a cancelled pipeline of any length leaves the owner of its shard running. */
class CancelledPipelineTest {
  private static final int JOBS = 5000;
  private static final int FIRST_NUMBER = 100_000;
  private static final int PAGE_ENTRIES = 200;
  private static final int ROUNDS = 100;
  private static final int ROUND_MS = 50;
  private static final int COPRIME_STEP = 2713;
  private static final String TEAM = "vision";
  private static final Epoch EPOCH = new Epoch(5);

  /** How the ids of a pipeline's jobs follow each other, from the first job to the last. */
  enum IdOrder {
    RISING(position -> position),
    FALLING(position -> JOBS - 1 - position),
    MIXED(position -> (int) ((long) position * COPRIME_STEP % JOBS));

    private final IntUnaryOperator offset;

    IdOrder(IntUnaryOperator offset) {
      this.offset = offset;
    }

    /** Returns the number of the job at a position from 0 for the first job of the pipeline. */
    int number(int position) {
      return FIRST_NUMBER + offset.applyAsInt(position);
    }
  }

  private StepDriver driver;
  private CancellationLog cancellations;
  private ShardOwner owner;

  /** Acquires the shard of the pipeline's team, one of the given number of shards. */
  private void acquire(int shards) {
    driver =
        new StepDriver(
            new Settings(shards, 6000, 2000, 8000, 60_000, 3000, 4, 100, 20, 50, 300, 300, 120));
    cancellations = new CancellationLog(driver.context(), id -> {}, other -> {});
    driver.after(
        1000,
        () -> {
          owner =
              new ShardOwner(
                  driver.context(),
                  cancellations,
                  new FeatureGate(),
                  ShardId.of(TEAM, shards),
                  EPOCH,
                  driver.context().now(),
                  false);
          owner.renewLease(EPOCH, new MonotonicTime(10_000_000));
          owner.recover();
        });
  }

  /** Answers the listing with a pipeline in which each job depends on the one before it. */
  private void list(IdOrder order, boolean isFirstCancelled) {
    List<JobRecord> records = new ArrayList<>();
    for (int position = 0; position < JOBS; position++) {
      JobBuilder job = JobBuilder.job(order.number(position)).ofTeam(TEAM);
      if (position > 0) {
        job.dependsOn(order.number(position - 1));
      }
      JobRecord record = job.record();
      records.add(position == 0 && isFirstCancelled ? record.markedCancelled() : record);
    }
    records.sort(Comparator.comparing(record -> JobRecord.liveKey(record.spec().id())));
    for (int from = 0; from < JOBS; from += PAGE_ENTRIES) {
      driver.answer(200, page(records.subList(from, from + PAGE_ENTRIES), from));
    }
  }

  private static ObjectNode page(List<JobRecord> records, int from) {
    ObjectNode page = Json.object().put("ledgerRev", 10);
    page.put("truncated", from + PAGE_ENTRIES < JOBS);
    ArrayNode entries = page.putArray("entries");
    for (JobRecord record : records) {
      ObjectNode entry = entries.addObject().put("k", JobRecord.liveKey(record.spec().id()));
      entry.put("stamp", 3).set("data", record.write());
    }
    return page;
  }

  private void assertAllCancelled(IdOrder order) {
    for (int position = 1; position < JOBS; position++) {
      JobId id = JobBuilder.id(order.number(position));
      assertTrue(cancellations.isCancelled(id), "position " + position);
    }
  }

  @ParameterizedTest
  @EnumSource
  void cancellingTheFirstJobDoesNotOverflowTheStack(IdOrder order) {
    DeployedStack.run(
        () -> {
          acquire(1);
          list(order, false);
          driver.now(() -> owner.recordConfirmedCancellation(JobBuilder.id(order.number(0))));
          assertAllCancelled(order);
        });
  }

  @ParameterizedTest
  @CsvSource({"RISING, 1", "FALLING, 1", "MIXED, 1", "RISING, 3", "FALLING, 3", "MIXED, 3"})
  void aTakeoverOfACancelledPipelineDoesNotOverflowTheStack(IdOrder order, int shards) {
    DeployedStack.run(
        () -> {
          acquire(shards);
          list(order, true);
          assertAllCancelled(order);
        });
  }

  @Test
  void theWritesOfACancelledPipelineKeepTheLimitsAndDoNotDelayTheRenewalOfLeases() {
    acquire(1);
    list(IdOrder.RISING, true);
    int written = 0;
    for (int round = 0; round < ROUNDS; round++) {
      runTimed(() -> driver.after(ROUND_MS, () -> owner.runRound(() -> false)));
      for (Output.Call call : List.copyOf(driver.openCalls())) {
        if (call.body() != null) {
          int operations = call.body().path("apply").size();
          assertTrue(operations <= StepDriver.CONFIG.state().txnOps(), "operations: " + operations);
          written += operations;
          driver.openCalls().remove(call);
          runTimed(() -> commit(call));
        }
      }
    }
    double limit = StepDriver.CONFIG.state().writeRps() * (ROUNDS * ROUND_MS / 1000 + 1);
    assertTrue(written > 0 && written <= limit, "operations: " + written);
  }

  private void runTimed(Runnable step) {
    assertTimeout(Duration.ofMillis(StepDriver.SETTINGS.heartbeatIntervalMs()), step::run);
  }

  private void commit(Output.Call call) {
    ObjectNode committed = Json.object().put("ledgerRev", 20);
    driver.now(() -> driver.context().handleAnswer(new Input.Answer(call.call(), 200, committed)));
  }
}
