package shorecrank.coordination.shard;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static shorecrank.coordination.model.JobBuilder.job;
import static shorecrank.coordination.model.MachineBuilder.machine;

import java.util.List;
import org.junit.jupiter.api.Test;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.StepContextBuilder;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.model.TeamQuotas;
import shorecrank.coordination.model.WriteUrgency;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.Revision;

/**
 * Tests how long attempts count for the quota of a team whose limit is 8 processors. A quota
 * released too soon would let the team run more than its limit once a later owner starts a
 * withdrawn attempt.
 */
class ShardJobsTest {
  private static final String TEAM = "limited";
  private static final Epoch EPOCH = new Epoch(1);

  private final StepContext context = new StepContextBuilder().team(TEAM, 0, 8).build();
  private final TeamQuotas quotas = new TeamQuotas(context.config().teams(), List.of());
  private final ShardJobs jobs = new ShardJobs(context, quotas);
  private final Job job = jobs.add(job(1).ofTeam(TEAM).tasks(1, 6, 0).record(), new Revision(1));
  private final Job other = jobs.add(job(2).ofTeam(TEAM).tasks(8, 1, 0).record(), new Revision(2));

  private TaskAttempt attach() {
    TaskAttempt attempt =
        TaskAttempt.place(
            job, 0, machine(1).build(), job.tasks().nextAttemptNumber(), context.now());
    jobs.attach(attempt);
    return attempt;
  }

  private void write() {
    job.record().beginWrite();
    commit();
  }

  private void commit() {
    long sequence = job.record().sequence();
    job.recordCommitted(
        sequence, new Revision(sequence), EPOCH, job.record().latestStatus().orElseThrow());
    job.record().endWrite();
    jobs.recordCommitted(job);
  }

  private void assertHeadroomForOther(int tasks) {
    assertEquals(tasks, quotas.headroom(TEAM).queuedTasksThatFit(other));
  }

  @Test
  void withdrawnAttemptCountsUntilRecordIsWrittenWithoutIt() {
    TaskAttempt attempt = attach();
    write();
    jobs.withdraw(attempt);
    assertHeadroomForOther(2);
    assertEquals(1, quotas.headroom(TEAM).queuedTasksThatFit(job));
    assertEquals(WriteUrgency.NOW, job.record().urgency());
    write();
    assertHeadroomForOther(8);
  }

  @Test
  void writeSentBeforeWithdrawalReleasesNothing() {
    TaskAttempt attempt = attach();
    write();
    job.record().beginWrite();
    jobs.withdraw(attempt);
    commit();
    assertHeadroomForOther(2);
    write();
    assertHeadroomForOther(8);
  }

  @Test
  void lostAttemptIsReleasedAtOnce() {
    TaskAttempt attempt = attach();
    write();
    jobs.abandon(attempt);
    assertHeadroomForOther(8);
    assertEquals(WriteUrgency.LATER, job.record().urgency());
  }

  @Test
  void rereadJobCountsOnlyAttemptsInItsRecord() {
    TaskAttempt attempt = attach();
    write();
    jobs.withdraw(attempt);
    jobs.detachAll(job);
    assertHeadroomForOther(8);
    write();
    assertHeadroomForOther(8);
  }
}
