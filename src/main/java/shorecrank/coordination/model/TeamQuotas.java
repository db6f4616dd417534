package shorecrank.coordination.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import shorecrank.config.NodeConfig.Team;
import shorecrank.protocol.JobSpec;

/**
 * The quota usage of the teams of one shard: the processors and accelerators of their attempts,
 * compared with each team's limits.
 */
public final class TeamQuotas {
  /** Tolerance for the rounding errors of sums of fractional processors. */
  private static final double EPSILON = 1e-9;

  /**
   * The processors and accelerators that a team may still use. Callers subtract the tasks that they
   * plan to place, which does not change the quota usage of the team.
   */
  public static final class Headroom {
    private double cpus;
    private double gpus;

    private Headroom(double cpus, double gpus) {
      this.cpus = cpus;
      this.gpus = gpus;
    }

    /**
     * Returns how many of a job's queued tasks fit into this headroom. They may replace withdrawn
     * attempts of the same job, because one write of the job's record removes the withdrawn
     * attempts and adds the new ones.
     */
    public int queuedTasksThatFit(Job job) {
      JobSpec spec = job.spec();
      int withdrawn = job.withdrawn().count();
      double tasks = job.queuedTaskCount();
      tasks = fit(tasks, spec.cpus(), cpus + withdrawn * spec.cpus());
      tasks = fit(tasks, spec.gpus(), gpus + withdrawn * spec.gpus());
      return (int) Math.max(0, tasks);
    }

    private static double fit(double tasks, double each, double available) {
      return each <= 0 ? tasks : Math.min(tasks, Math.floor(available / each + EPSILON));
    }

    /** Subtracts the processors and accelerators of a number of tasks. */
    public void subtract(JobSpec spec, int tasks) {
      cpus -= tasks * spec.cpus();
      gpus -= tasks * spec.gpus();
    }
  }

  /** The sum of processors and accelerators of a set of attempts. */
  private static final class Amount {
    double cpus;
    double gpus;

    void add(JobSpec spec, int attempts) {
      cpus += attempts * spec.cpus();
      gpus += attempts * spec.gpus();
    }
  }

  /** The attempts that count against the limits of one team. */
  private static final class Allocations {
    /** Attempts from their placement until they can no longer run. */
    final Amount placed = new Amount();

    /** Attempts that were withdrawn before they started and that records may still name. */
    final Amount withdrawn = new Amount();
  }

  private final Map<String, Team> teams;
  private final Collection<Machine> machines;
  private final Map<String, Allocations> allocationsByTeam = new HashMap<>();

  /**
   * @param teams the configured teams, by name
   * @param machines a live view of the machines of the shard
   */
  public TeamQuotas(Map<String, Team> teams, Collection<Machine> machines) {
    this.teams = teams;
    this.machines = machines;
  }

  /** Reports whether a team has a limit on processors or accelerators. */
  public boolean isLimited(String team) {
    return isLimited(teams.get(team));
  }

  private static boolean isLimited(Team team) {
    return team != null && (team.cpusMax() > 0 || team.gpusMax() > 0);
  }

  /** Adds an attempt of a job to the usage of its team. */
  public void allocate(JobSpec spec) {
    allocations(spec).placed.add(spec, 1);
  }

  /** Removes an attempt from the usage of its job's team, because it can no longer run. */
  public void release(JobSpec spec) {
    allocations(spec).placed.add(spec, -1);
  }

  /**
   * Marks an attempt that has not been started as withdrawn. It counts until {@link
   * #releaseWithdrawn} is called for it.
   */
  public void withdraw(JobSpec spec) {
    allocations(spec).placed.add(spec, -1);
    allocations(spec).withdrawn.add(spec, 1);
  }

  /**
   * Removes withdrawn attempts from the usage of their job's team, because no record names them.
   */
  public void releaseWithdrawn(JobSpec spec, int attempts) {
    allocations(spec).withdrawn.add(spec, -attempts);
  }

  private Allocations allocations(JobSpec spec) {
    return allocationsByTeam.computeIfAbsent(spec.team(), name -> new Allocations());
  }

  /** Reports whether the placed attempts, without the withdrawn ones, exceed the team's limits. */
  public boolean isAboveLimit(String name) {
    Team team = teams.get(name);
    Allocations allocations = allocationsByTeam.get(name);
    return isLimited(team) && allocations != null && teamUsage(team, allocations).isAboveLimit();
  }

  private static TeamUsage teamUsage(Team team, Allocations allocations) {
    Amount placed = allocations.placed;
    Amount withdrawn = allocations.withdrawn;
    return new TeamUsage(team, placed.cpus, placed.gpus, withdrawn.cpus, withdrawn.gpus);
  }

  /** Returns the usage of each team that has a limit and has ever used something, by team name. */
  public List<TeamUsage> usages() {
    List<TeamUsage> usages = new ArrayList<>();
    allocationsByTeam.forEach(
        (name, allocations) -> {
          if (isLimited(name)) {
            usages.add(teamUsage(teams.get(name), allocations));
          }
        });
    usages.sort(Comparator.comparing(usage -> usage.team().name()));
    return usages;
  }

  /**
   * Returns the processors and accelerators that a team may still use: its limits minus those of
   * its placed and withdrawn attempts and of its running tasks that no record names. A team that is
   * not configured may use nothing.
   */
  public Headroom headroom(String name) {
    Team team = teams.get(name);
    if (team == null) {
      return new Headroom(0, 0);
    }
    Headroom headroom =
        new Headroom(
            team.cpusMax() > 0 ? team.cpusMax() : Double.MAX_VALUE,
            team.gpusMax() > 0 ? team.gpusMax() : Double.MAX_VALUE);
    if (!isLimited(team)) {
      return headroom;
    }
    Allocations allocations = allocationsByTeam.get(name);
    if (allocations != null) {
      headroom.cpus -= allocations.placed.cpus + allocations.withdrawn.cpus;
      headroom.gpus -= allocations.placed.gpus + allocations.withdrawn.gpus;
    }
    for (Machine machine : machines) {
      for (Machine.UnrecordedTask unrecorded : machine.unrecordedTasks()) {
        if (unrecorded.job().spec().team().equals(name)) {
          headroom.subtract(unrecorded.job().spec(), 1);
        }
      }
    }
    return headroom;
  }
}
