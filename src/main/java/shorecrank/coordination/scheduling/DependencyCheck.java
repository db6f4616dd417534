package shorecrank.coordination.scheduling;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import shorecrank.coordination.model.Job;
import shorecrank.protocol.Ids.JobId;

/**
 * Finds, for jobs of one shard, whether a transitive unmet dependency can be cancelled without the
 * shard's owner knowing. A check is used for the jobs of one batch, within one step. What it finds
 * for one job is kept for the others, so that a batch of any size costs about as much as one
 * traversal of the graph.
 */
public final class DependencyCheck {
  private final Map<JobId, Job> jobs;
  private final Map<JobId, Set<Job>> dependents;

  /** Jobs that are unfinished and uncancelled, like all their transitive dependencies. */
  private final Set<JobId> verified = new HashSet<>();

  /**
   * The jobs with a transitive dependency that is unknown or cancelled; null until one is found.
   */
  private Set<JobId> unverifiable;

  /**
   * Creates a check that has examined no job yet.
   *
   * @param jobs the unfinished jobs of the shard
   * @param dependents the waiting jobs, by the dependency that they wait for
   */
  DependencyCheck(Map<JobId, Job> jobs, Map<JobId, Set<Job>> dependents) {
    this.jobs = jobs;
    this.dependents = dependents;
  }

  /**
   * Reports whether all transitive unmet dependencies of the job are unfinished jobs of this shard,
   * and none of them is cancelled.
   */
  public boolean areDependenciesUncancelled(Job job) {
    if (unverifiable != null && unverifiable.contains(job.id())) {
      return false;
    }
    boolean isVerified = verify(job);
    if (!isVerified && unverifiable == null) {
      unverifiable = findUnverifiable();
    }
    return isVerified;
  }

  /** Examines the dependencies of a job that are not verified yet; stops at the first bad one. */
  private boolean verify(Job job) {
    Set<JobId> visited = new HashSet<>();
    ArrayDeque<Job> pending = new ArrayDeque<>(List.of(job));
    while (!pending.isEmpty()) {
      for (JobId id : pending.poll().scheduling().unmetDependencies()) {
        if (verified.contains(id) || !visited.add(id)) {
          continue;
        }
        Job dependency = jobs.get(id);
        if (!isUncancelled(dependency)) {
          return false;
        }
        pending.add(dependency);
      }
    }
    verified.addAll(visited);
    return true;
  }

  private static boolean isUncancelled(Job dependency) {
    return dependency != null && !dependency.isCancelled();
  }

  /** Returns the transitive dependents of all jobs that are unknown or cancelled. */
  private Set<JobId> findUnverifiable() {
    ArrayDeque<JobId> pending = new ArrayDeque<>();
    for (JobId id : dependents.keySet()) {
      if (!isUncancelled(jobs.get(id))) {
        pending.add(id);
      }
    }
    Set<JobId> found = new HashSet<>();
    while (!pending.isEmpty()) {
      for (Job dependent : dependents.getOrDefault(pending.poll(), Set.of())) {
        if (found.add(dependent.id())) {
          pending.add(dependent.id());
        }
      }
    }
    return found;
  }
}
