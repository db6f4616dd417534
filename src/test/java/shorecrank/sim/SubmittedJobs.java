package shorecrank.sim;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The jobs of a run as their users know them, with the results and saved progress of their tasks.
 */
final class SubmittedJobs {
  private final Map<String, JobPlan> plans = new TreeMap<>();
  private final Set<String> submitted = new HashSet<>();
  private final Set<String> cancelRequested = new HashSet<>();
  private final Set<String> results = new HashSet<>();
  private final Map<String, Long> savedMs = new HashMap<>();

  /** Returns the id of a task's job. */
  static String jobOf(String task) {
    return task.substring(0, task.lastIndexOf('/'));
  }

  /** Records that a user submits a job. */
  void submit(String job, JobPlan plan) {
    plans.put(job, plan);
    submitted.add(job);
  }

  /** Reports whether any user has submitted the job. */
  boolean isSubmitted(String job) {
    return submitted.contains(job);
  }

  /** Returns a job's plan; null if there is no such job. */
  JobPlan plan(String job) {
    return plans.get(job);
  }

  /** Returns the ids of all jobs, in ascending order. */
  Set<String> ids() {
    return Collections.unmodifiableSet(plans.keySet());
  }

  /** Returns the ids of all jobs, in an order that stays the same until a job is submitted. */
  List<String> idsInStableOrder() {
    return List.copyOf(submitted);
  }

  /** Returns the number of tasks of all jobs. */
  int taskCount() {
    return plans.values().stream().mapToInt(JobPlan::tasks).sum();
  }

  /** Records that a user requests the job's cancellation. */
  void requestCancel(String job) {
    cancelRequested.add(job);
  }

  /** Reports whether a user has requested the job's cancellation. */
  boolean isCancelRequested(String job) {
    return cancelRequested.contains(job);
  }

  /** Reports whether the cancellation of this job, or of one that it depends on, was requested. */
  boolean isCancelExpected(String job) {
    return withDependencies(job).stream().anyMatch(cancelRequested::contains);
  }

  /** Returns the job and all jobs that it depends on, directly or indirectly. */
  Set<String> withDependencies(String job) {
    Set<String> all = new HashSet<>();
    List<String> pending = new ArrayList<>(List.of(job));
    while (!pending.isEmpty()) {
      String next = pending.remove(pending.size() - 1);
      if (all.add(next) && plans.containsKey(next)) {
        pending.addAll(plans.get(next).dependencies());
      }
    }
    return all;
  }

  /** Records that a task has completed. */
  void addResult(String task) {
    results.add(task);
  }

  /** Reports whether a task has completed. */
  boolean hasResult(String task) {
    return results.contains(task);
  }

  /** Returns how many tasks have completed. */
  int resultCount() {
    return results.size();
  }

  /** Reports whether all tasks of a job have completed. */
  boolean hasAllResults(String job) {
    for (int i = 0; i < plans.get(job).tasks(); i++) {
      if (!hasResult(job + "/" + i)) {
        return false;
      }
    }
    return true;
  }

  /** Adds to the progress that a task has saved, in milliseconds. */
  void addSavedMs(String task, long ms) {
    savedMs.merge(task, ms, Long::sum);
  }

  /** Returns the progress that a task has saved, in milliseconds. */
  long savedMs(String task) {
    return savedMs.getOrDefault(task, 0L);
  }
}
