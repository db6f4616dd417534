package shorecrank.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;

/** Which task is on which machines now, and what was started so far. */
final class TaskTracker {
  private final Simulation sim;
  private final Map<String, Set<SimulatedWorker>> machines = new HashMap<>();
  private final Map<String, Double> cpusOfTeam = new HashMap<>();
  private final Map<String, Long> firstStartMs = new HashMap<>();
  private final Map<String, Integer> startsOfJob = new HashMap<>();
  private int starts;
  private int startsAfterCancel;

  TaskTracker(Simulation sim) {
    this.sim = sim;
  }

  /** A task is on a machine from now on; returns the names of those that it was on before. */
  Set<String> start(SimulatedWorker worker, SimulatedTask task, JobPlan plan, boolean cancelled) {
    starts++;
    startsAfterCancel += cancelled ? 1 : 0;
    firstStartMs.putIfAbsent(task.job(), sim.now());
    startsOfJob.merge(task.job(), 1, Integer::sum);
    cpusOfTeam.merge(plan.team(), plan.cpus(), Double::sum);
    Set<SimulatedWorker> on = machines.computeIfAbsent(task.id(), k -> new HashSet<>());
    Set<String> before = names(on);
    on.add(worker);
    return before;
  }

  /** A task is on a machine no more. */
  void stop(SimulatedWorker worker, SimulatedTask task, JobPlan plan) {
    Set<SimulatedWorker> on = machines.get(task.id());
    if (on != null) {
      on.remove(worker);
      if (on.isEmpty()) {
        machines.remove(task.id());
      }
    }
    cpusOfTeam.merge(plan.team(), -plan.cpus(), Double::sum);
  }

  private static Set<String> names(Set<SimulatedWorker> workers) {
    return workers.stream().map(SimulatedWorker::name).collect(Collectors.toSet());
  }

  /** Whether a task is on any machine. */
  boolean isOnMachine(String task) {
    return machines.containsKey(task);
  }

  /** All tasks of a job that are on machines, with these. */
  void forEachTaskOf(String job, BiConsumer<String, Set<SimulatedWorker>> consumer) {
    machines.forEach(
        (task, on) -> {
          if (task.startsWith(job + "/")) {
            consumer.accept(task, on);
          }
        });
  }

  /** Processors that a team's tasks use. */
  double cpusOf(String team) {
    return cpusOfTeam.getOrDefault(team, 0.0);
  }

  /** How often any task came on a machine. */
  int starts() {
    return starts;
  }

  /** How often a task of the job came on a machine. */
  int startsOf(String job) {
    return startsOfJob.getOrDefault(job, 0);
  }

  /** Starts of jobs after a user was told that they are cancelled. */
  int startsAfterCancel() {
    return startsAfterCancel;
  }

  /** Whether any task of the job has started. */
  boolean hasBegun(String job) {
    return firstStartMs.containsKey(job);
  }

  /** When the job's first task started; now if none has. */
  long begunAtMs(String job) {
    return firstStartMs.getOrDefault(job, sim.now());
  }

  /** Whether the first job's first task started before the second's. */
  boolean isBegunBefore(String first, String second) {
    return firstStartMs.getOrDefault(first, Long.MAX_VALUE)
        < firstStartMs.getOrDefault(second, Long.MAX_VALUE);
  }
}
