package shorecrank.coordination.shard;

import java.util.HashSet;
import java.util.Set;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.model.TeamQuotas;
import shorecrank.coordination.model.TeamUsage;
import shorecrank.coordination.step.StepContext;

/**
 * Keeps attempts that records name from being started above their team's limit. An owner never
 * places more attempts than the limit allows, but the records that it takes over may name more:
 * some of these attempts may have ended, or were placed by a version that does not count withdrawn
 * attempts.
 */
final class QuotaGuard {
  private final StepContext context;
  private final ShardJobs jobs;
  private final TeamQuotas quotas;

  /**
   * Teams above their limits at the last review whose attempts were all on machines with reconciled
   * heartbeats.
   */
  private final Set<String> knownAboveLimit = new HashSet<>();

  QuotaGuard(StepContext context, ShardJobs jobs, TeamQuotas quotas) {
    this.context = context;
    this.jobs = jobs;
    this.quotas = quotas;
  }

  /** Reports whether the limit of a job's team allows the job's attempts to be started. */
  boolean mayStart(Job job) {
    return !quotas.isAboveLimit(job.spec().team());
  }

  /**
   * Reports whether an attempt that was never started must be withdrawn: its team is above the
   * limit, and the heartbeats of all machines with attempts of the team are reconciled, so that
   * none of these attempts has ended unnoticed.
   */
  boolean mustWithdraw(Job job) {
    String team = job.spec().team();
    return knownAboveLimit.contains(team) && quotas.isAboveLimit(team);
  }

  /** Finds the teams that are certainly above their limits and logs each as an error. */
  void review() {
    knownAboveLimit.clear();
    for (TeamUsage usage : quotas.usages()) {
      if (usage.isAboveLimit() && isUsageKnown(usage.team().name())) {
        knownAboveLimit.add(usage.team().name());
        context.reportError("quota.exceeded", "team.quota.exceeded " + usage.logFields());
      }
    }
  }

  private boolean isUsageKnown(String team) {
    for (Job job : jobs.all().values()) {
      if (job.spec().team().equals(team) && !areAllMachinesReconciled(job)) {
        return false;
      }
    }
    return true;
  }

  private static boolean areAllMachinesReconciled(Job job) {
    for (TaskAttempt attempt : job.tasks().attempts()) {
      if (!attempt.machine().session().isReconciled()) {
        return false;
      }
    }
    return true;
  }
}
