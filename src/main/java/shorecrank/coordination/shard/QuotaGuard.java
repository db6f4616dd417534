package shorecrank.coordination.shard;

import java.util.HashSet;
import java.util.Set;
import shorecrank.coordination.model.Job;
import shorecrank.coordination.model.TaskAttempt;
import shorecrank.coordination.model.TeamQuotas;
import shorecrank.coordination.model.TeamUse;
import shorecrank.coordination.step.StepContext;

/**
 * Keeps what records name of a team from being started above the team's limit. An owner never
 * places so much, but may find it in the records: of tasks that have ended since, or because an
 * earlier version did not count what it had given up.
 */
final class QuotaGuard {
  private final StepContext context;
  private final ShardJobs jobs;
  private final TeamQuotas quotas;

  /** Teams above their limits at the last review, of all of whose attempts workers had told. */
  private final Set<String> knownAboveLimit = new HashSet<>();

  QuotaGuard(StepContext context, ShardJobs jobs, TeamQuotas quotas) {
    this.context = context;
    this.jobs = jobs;
    this.quotas = quotas;
  }

  /** Whether attempts of a job may be started, as far as its team's limit goes. */
  boolean mayStart(Job job) {
    return !quotas.isAboveLimit(job.spec().team());
  }

  /**
   * Whether an attempt that was never started has to be withdrawn: its team is above the limit, and
   * the workers have told of all its attempts, so that none is left that may have ended.
   */
  boolean mustWithdraw(Job job) {
    String team = job.spec().team();
    return knownAboveLimit.contains(team) && quotas.isAboveLimit(team);
  }

  /** Finds the teams that are known to be above their limits, and raises an alarm for each. */
  void review() {
    knownAboveLimit.clear();
    for (TeamUse use : quotas.uses()) {
      if (use.isAboveLimit() && isUseKnown(use.team().name())) {
        knownAboveLimit.add(use.team().name());
        context.reportRefusal("quota.exceeded", "team.quota.exceeded " + use.logFields());
      }
    }
  }

  private boolean isUseKnown(String team) {
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
