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
  private final Map<String, Set<SimulatedWorker>> machinesByTask = new HashMap<>();
  private final Map<String, Double> cpusByTeam = new HashMap<>();
  private final Map<String, Long> firstStartAtMsByJob = new HashMap<>();
  private final Map<String, Integer> startsByJob = new HashMap<>();
  private int starts;
  private int startsAfterCancel;

  TaskTracker(Simulation sim) {
    this.sim = sim;
  }

  /** A task is on a machine from now on; returns the names of those that it was on before. */
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

  /** A task is on a machine no more. */
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

  /** Whether a task is on any machine. */
  boolean isOnMachine(String task) {
    return machinesByTask.containsKey(task);
  }

  /** All tasks of a job that are on machines, with these. */
  void forEachTaskOf(String job, BiConsumer<String, Set<SimulatedWorker>> consumer) {
    machinesByTask.forEach(
        (task, taskMachines) -> {
          if (task.startsWith(job + "/")) {
            consumer.accept(task, taskMachines);
          }
        });
  }

  /** Processors that a team's tasks use. */
  double cpusOf(String team) {
    return cpusByTeam.getOrDefault(team, 0.0);
  }

  /** How often any task came on a machine. */
  int starts() {
    return starts;
  }

  /** How often a task of the job came on a machine. */
  int startsOf(String job) {
    return startsByJob.getOrDefault(job, 0);
  }

  /** Starts of jobs after a user was told that they are cancelled. */
  int startsAfterCancel() {
    return startsAfterCancel;
  }

  /** Whether any task of the job has started. */
  boolean hasStarted(String job) {
    return firstStartAtMsByJob.containsKey(job);
  }

  /** When the job's first task started; now if none has. */
  long firstStartAtMs(String job) {
    return firstStartAtMsByJob.getOrDefault(job, sim.now());
  }

  /** Whether the first job's first task started before the second's. */
  boolean isStartedBefore(String first, String second) {
    return firstStartAtMsByJob.getOrDefault(first, Long.MAX_VALUE)
        < firstStartAtMsByJob.getOrDefault(second, Long.MAX_VALUE);
  }
}
