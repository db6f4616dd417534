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

    /** How many of a job's queued tasks fit. */
    public int queuedTasksThatFit(Job job) {
      double tasks = job.queued();
      if (job.spec().cpus() > 0) {
        tasks = Math.min(tasks, Math.floor(cpus / job.spec().cpus() + EPSILON));
      }
      if (job.spec().gpus() > 0) {
        tasks = Math.min(tasks, Math.floor(gpus / job.spec().gpus() + EPSILON));
      }
      return (int) Math.max(0, tasks);
    }

    /** Takes room for that many tasks. */
    public void take(JobSpec spec, int tasks) {
      cpus -= tasks * spec.cpus();
      gpus -= tasks * spec.gpus();
    }
  }

  /** Processors and accelerators of the attempts that records name. */
  private static final class Usage {
    double cpus;
    double gpus;
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
    Usage usage = usageByTeam.computeIfAbsent(spec.team(), name -> new Usage());
    usage.cpus += spec.cpus();
    usage.gpus += spec.gpus();
  }

  /** No longer counts an attempt of a job. */
  public void release(JobSpec spec) {
    Usage usage = usageByTeam.get(spec.team());
    usage.cpus -= spec.cpus();
    usage.gpus -= spec.gpus();
  }

  /** What the teams with a limit use, in the order of their names; once they have used any. */
  public List<TeamUse> uses() {
    List<TeamUse> uses = new ArrayList<>();
    usageByTeam.forEach(
        (name, usage) -> {
          if (isLimited(name)) {
            uses.add(new TeamUse(teams.get(name), usage.cpus, usage.gpus));
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
      headroom.cpus -= usage.cpus;
      headroom.gpus -= usage.gpus;
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
