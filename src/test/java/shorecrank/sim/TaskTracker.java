package shorecrank.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;

/** Tracks which tasks are on which machines, and counts their starts. */
final class TaskTracker {
  private final Simulation sim;
  private final Map<String, Set<SimulatedWorker>> machinesByTask = new HashMap<>();
  private final Map<String, Double> cpusByTeam = new HashMap<>();
  private final Map<String, Long> firstStartAtMsByJob = new HashMap<>();
  private final Map<String, Integer> startsByJob = new HashMap<>();
  private int starts;
  private int startsAfterCancel;

  TaskTracker(Simulation sim) {
    this.sim = sim;
  }

  /**
   * Records that a task is on a machine from now on.
   *
   * @param cancelled whether a user was told that the job is cancelled
   * @return the names of the machines that the task was on before
   */
  Set<String> start(SimulatedWorker worker, SimulatedTask task, JobPlan plan, boolean cancelled) {
    starts++;
    startsAfterCancel += cancelled ? 1 : 0;
    firstStartAtMsByJob.putIfAbsent(task.job(), sim.now());
    startsByJob.merge(task.job(), 1, Integer::sum);
    cpusByTeam.merge(plan.team(), plan.cpus(), Double::sum);
    Set<SimulatedWorker> taskMachines =
        machinesByTask.computeIfAbsent(task.id(), k -> new HashSet<>());
    Set<String> machinesBefore = names(taskMachines);
    taskMachines.add(worker);
    return machinesBefore;
  }

  /** Records that a task is no longer on a machine. */
  void stop(SimulatedWorker worker, SimulatedTask task, JobPlan plan) {
    Set<SimulatedWorker> taskMachines = machinesByTask.get(task.id());
    if (taskMachines != null) {
      taskMachines.remove(worker);
      if (taskMachines.isEmpty()) {
        machinesByTask.remove(task.id());
      }
    }
    cpusByTeam.merge(plan.team(), -plan.cpus(), Double::sum);
  }

  private static Set<String> names(Set<SimulatedWorker> workers) {
    return workers.stream().map(SimulatedWorker::name).collect(Collectors.toSet());
  }

  /** Reports whether a task is on any machine. */
  boolean isOnMachine(String task) {
    return machinesByTask.containsKey(task);
  }

  /** Calls the consumer with each task of the job that is on a machine, and with its machines. */
  void forEachTaskOf(String job, BiConsumer<String, Set<SimulatedWorker>> consumer) {
    machinesByTask.forEach(
        (task, taskMachines) -> {
          if (task.startsWith(job + "/")) {
            consumer.accept(task, taskMachines);
          }
        });
  }

  /** Returns the CPUs that the team's tasks use. */
  double cpusOf(String team) {
    return cpusByTeam.getOrDefault(team, 0.0);
  }

  /** Returns how many times tasks were started. */
  int starts() {
    return starts;
  }

  /** Returns how many times tasks of the job were started. */
  int startsOf(String job) {
    return startsByJob.getOrDefault(job, 0);
  }

  /**
   * Returns how many times tasks were started after a user was told that their job is cancelled.
   */
  int startsAfterCancel() {
    return startsAfterCancel;
  }

  /** Reports whether any task of the job has started. */
  boolean hasStarted(String job) {
    return firstStartAtMsByJob.containsKey(job);
  }

  /**
   * Returns the simulated time in milliseconds at which the first task of the job started, or the
   * current time if none has.
   */
  long firstStartAtMs(String job) {
    return firstStartAtMsByJob.getOrDefault(job, sim.now());
  }

  /** Reports whether the first task of one job started before the first task of the other. */
  boolean isStartedBefore(String first, String second) {
    return firstStartAtMsByJob.getOrDefault(first, Long.MAX_VALUE)
        < firstStartAtMsByJob.getOrDefault(second, Long.MAX_VALUE);
  }
}
