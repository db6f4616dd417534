package shorecrank.coordination.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import shorecrank.config.NodeConfig.Team;
import shorecrank.coordination.model.Job;

/** The processors and accelerators that teams are guaranteed, their fair share of the fleet. */
final class TeamGuarantees {
  /** Absorbs the rounding errors of sums of fractional processors. */
  private static final double EPSILON = 1e-9;

  private static final Comparator<Job> OLDEST_FIRST =
      Comparator.comparingLong((Job job) -> job.acceptedAtMs()).thenComparing(Job::id);

  private final Map<String, Team> teams;

  TeamGuarantees(Map<String, Team> teams) {
    this.teams = teams;
  }

  /** Marks the jobs that fit into their team's guarantee together with all its earlier ones. */
  void mark(Collection<Job> jobs) {
    Map<String, List<Job>> byTeam = new HashMap<>();
    for (Job job : jobs) {
      job.scheduling().setWithinGuarantee(false);
      Team team = teams.get(job.spec().team());
      if (team != null
          && (team.cpus() > 0 || team.gpus() > 0)
          && !job.isCancelled()
          && job.scheduling().isReady()) {
        byTeam.computeIfAbsent(job.spec().team(), name -> new ArrayList<>()).add(job);
      }
    }
    byTeam.forEach((name, teamJobs) -> mark(teams.get(name), teamJobs));
  }

  private static void mark(Team team, List<Job> teamJobs) {
    teamJobs.sort(OLDEST_FIRST);
    double cpus = 0;
    double gpus = 0;
    for (Job job : teamJobs) {
      cpus += job.spec().tasks() * job.spec().cpus();
      gpus += job.spec().tasks() * job.spec().gpus();
      job.scheduling()
          .setWithinGuarantee(cpus <= team.cpus() + EPSILON && gpus <= team.gpus() + EPSILON);
    }
  }
}
