package shorecrank.coordination.model;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import shorecrank.config.NodeConfig.Team;
import shorecrank.protocol.JobSpec;

/** What the teams of one shard use of their limits on processors and accelerators. */
public final class TeamQuotas {
  /** Absorbs the rounding errors of sums of fractional processors. */
  private static final double EPSILON = 1e-9;

  /** What a team may still take; counts down as tasks are added in thought. */
  public static final class Headroom {
    private double cpus;
    private double gpus;

    private Headroom(double cpus, double gpus) {
      this.cpus = cpus;
      this.gpus = gpus;
    }

    /**
     * How many of a job's queued tasks fit. They may take the place of the job's own withdrawn
     * attempts: the write that names the ones is the one that names the others no more.
     */
    public int queuedTasksThatFit(Job job) {
      JobSpec spec = job.spec();
      int withdrawn = job.withdrawn().count();
      double tasks = job.queuedTaskCount();
      tasks = fit(tasks, spec.cpus(), cpus + withdrawn * spec.cpus());
      tasks = fit(tasks, spec.gpus(), gpus + withdrawn * spec.gpus());
      return (int) Math.max(0, tasks);
    }

    private static double fit(double tasks, double each, double room) {
      return each <= 0 ? tasks : Math.min(tasks, Math.floor(room / each + EPSILON));
    }

    /** Takes room for that many tasks. */
    public void take(JobSpec spec, int tasks) {
      cpus -= tasks * spec.cpus();
      gpus -= tasks * spec.gpus();
    }
  }

  /** Processors and accelerators of some attempts. */
  private static final class Amount {
    double cpus;
    double gpus;

    void add(JobSpec spec, int attempts) {
      cpus += attempts * spec.cpus();
      gpus += attempts * spec.gpus();
    }
  }

  /** What counts of one team. */
  private static final class Usage {
    /** Attempts from their placement until they are surely off their machines. */
    final Amount placed = new Amount();

    /** Attempts that were given up before they started, while records may still name them. */
    final Amount withdrawn = new Amount();
  }

  private final Map<String, Team> teams;
  private final Collection<Machine> machines;
  private final Map<String, Usage> usageByTeam = new HashMap<>();

  /**
   * @param teams the teams of the platform's file, by name
   * @param machines a live view of the machines of the shard
   */
  public TeamQuotas(Map<String, Team> teams, Collection<Machine> machines) {
    this.teams = teams;
    this.machines = machines;
  }

  /** Whether a team has a limit. */
  public boolean isLimited(String team) {
    return isLimited(teams.get(team));
  }

  private static boolean isLimited(Team team) {
    return team != null && (team.cpusMax() > 0 || team.gpusMax() > 0);
  }

  /** Counts an attempt of a job. */
  public void allocate(JobSpec spec) {
    usage(spec).placed.add(spec, 1);
  }

  /** No longer counts an attempt of a job, which can't run from now on. */
  public void release(JobSpec spec) {
    usage(spec).placed.add(spec, -1);
  }

  /** An attempt was given up before it started; it counts until it is settled. */
  public void withdraw(JobSpec spec) {
    usage(spec).placed.add(spec, -1);
    usage(spec).withdrawn.add(spec, 1);
  }

  /** No record names so many withdrawn attempts of a job any more. */
  public void releaseWithdrawn(JobSpec spec, int attempts) {
    usage(spec).withdrawn.add(spec, -attempts);
  }

  private Usage usage(JobSpec spec) {
    return usageByTeam.computeIfAbsent(spec.team(), name -> new Usage());
  }

  /** Whether the attempts that are placed take more than the team's limit. */
  public boolean isAboveLimit(String name) {
    Team team = teams.get(name);
    Usage usage = usageByTeam.get(name);
    return isLimited(team) && usage != null && use(team, usage).isAboveLimit();
  }

  private static TeamUse use(Team team, Usage usage) {
    Amount placed = usage.placed;
    Amount withdrawn = usage.withdrawn;
    return new TeamUse(team, placed.cpus, placed.gpus, withdrawn.cpus, withdrawn.gpus);
  }

  /** What the teams with a limit use, in the order of their names, once they have used any. */
  public List<TeamUse> uses() {
    List<TeamUse> uses = new ArrayList<>();
    usageByTeam.forEach(
        (name, usage) -> {
          if (isLimited(name)) {
            uses.add(use(teams.get(name), usage));
          }
        });
    uses.sort(Comparator.comparing(use -> use.team().name()));
    return uses;
  }

  /** What a team may still take; nothing if the platform's file does not name the team. */
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
    Usage usage = usageByTeam.get(name);
    if (usage != null) {
      headroom.cpus -= usage.placed.cpus + usage.withdrawn.cpus;
      headroom.gpus -= usage.placed.gpus + usage.withdrawn.gpus;
    }
    for (Machine machine : machines) {
      for (Machine.UnrecordedTask unrecorded : machine.unrecordedTasks()) {
        if (unrecorded.job().spec().team().equals(name)) {
          headroom.take(unrecorded.job().spec(), 1);
        }
      }
    }
    return headroom;
  }
}
