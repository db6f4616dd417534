package shorecrank.coordination.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import shorecrank.config.NodeConfig.Team;
import shorecrank.coordination.model.Job;

/** The processors and accelerators guaranteed to each team, its fair share of the fleet. */
final class TeamGuarantees {
  /** Tolerance for rounding errors in sums of fractional processors. */
  private static final double EPSILON = 1e-9;

  private static final Comparator<Job> OLDEST_FIRST =
      Comparator.comparingLong((Job job) -> job.acceptedAtMs()).thenComparing(Job::id);

  private final Map<String, Team> teams;

  TeamGuarantees(Map<String, Team> teams) {
    this.teams = teams;
  }

  /**
   * Marks the ready jobs that are within their team's guarantee: those that fit into it together
   * with all older ready jobs of the team. Unmarks all others.
   */
  void markGuaranteedJobs(Collection<Job> jobs) {
    Map<String, List<Job>> byTeam = new HashMap<>();
    for (Job job : jobs) {
      job.scheduling().setWithinGuarantee(false);
      Team team = teams.get(job.spec().team());
      if (team != null
          && (team.guaranteedCpus() > 0 || team.guaranteedGpus() > 0)
          && !job.isCancelled()
          && job.scheduling().isReady()) {
        byTeam.computeIfAbsent(job.spec().team(), name -> new ArrayList<>()).add(job);
      }
    }
    byTeam.forEach((name, teamJobs) -> markTeam(teams.get(name), teamJobs));
  }

  private static void markTeam(Team team, List<Job> teamJobs) {
    teamJobs.sort(OLDEST_FIRST);
    double cpus = 0;
    double gpus = 0;
    for (Job job : teamJobs) {
      cpus += job.spec().tasks() * job.spec().cpus();
      gpus += job.spec().tasks() * job.spec().gpus();
      job.scheduling()
          .setWithinGuarantee(
              cpus <= team.guaranteedCpus() + EPSILON && gpus <= team.guaranteedGpus() + EPSILON);
    }
  }
}
