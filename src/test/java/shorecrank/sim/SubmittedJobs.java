package shorecrank.sim;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The jobs of a run as their users know them, and what their tasks have achieved. */
final class SubmittedJobs {
  private final Map<String, JobPlan> plans = new TreeMap<>();
  private final Set<String> submitted = new HashSet<>();
  private final Set<String> cancelRequested = new HashSet<>();
  private final Set<String> results = new HashSet<>();
  private final Map<String, Long> savedMs = new HashMap<>();

  /** The id of a task's job. */
  static String jobOf(String task) {
    return task.substring(0, task.lastIndexOf('/'));
  }

  /** A user submits a job. */
  void submit(String job, JobPlan plan) {
    plans.put(job, plan);
    submitted.add(job);
  }

  /** Whether any user has submitted the job. */
  boolean isSubmitted(String job) {
    return submitted.contains(job);
  }

  /** Null if there is no such job. */
  JobPlan plan(String job) {
    return plans.get(job);
  }

  /** All ids, in their order. */
  Set<String> ids() {
    return Collections.unmodifiableSet(plans.keySet());
  }

  /** All ids, in an order that does not change while none is added. */
  List<String> idsInStableOrder() {
    return List.copyOf(submitted);
  }

  /** The tasks of all jobs together. */
  int taskCount() {
    return plans.values().stream().mapToInt(JobPlan::tasks).sum();
  }

  /** Its user asks for the job to be cancelled. */
  void requestCancel(String job) {
    cancelRequested.add(job);
  }

  /** Whether its user has asked for the job to be cancelled. */
  boolean isCancelRequested(String job) {
    return cancelRequested.contains(job);
  }

  /** Whether this job, or one that it depends on, was to be cancelled. */
  boolean isCancelExpected(String job) {
    return withDependencies(job).stream().anyMatch(cancelRequested::contains);
  }

  /** The job itself and all that it depends on, directly or through others. */
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

  /** A task has completed. */
  void addResult(String task) {
    results.add(task);
  }

  /** Whether a task has completed. */
  boolean hasResult(String task) {
    return results.contains(task);
  }

  /** How many tasks have completed. */
  int resultCount() {
    return results.size();
  }

  /** Whether all tasks of a job have completed. */
  boolean hasAllResults(String job) {
    for (int i = 0; i < plans.get(job).tasks(); i++) {
      if (!hasResult(job + "/" + i)) {
        return false;
      }
    }
    return true;
  }

  /** A task has saved progress of so many milliseconds more. */
  void addSavedMs(String task, long ms) {
    savedMs.merge(task, ms, Long::sum);
  }

  /** Progress that a task has saved, in milliseconds. */
  long savedMs(String task) {
    return savedMs.getOrDefault(task, 0L);
  }
}
