package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The tasks on a simulated machine, and the commands that start, stop and remove them. */
final class WorkerTasks {
  private static final double MS_PER_S = 1000;
  private static final double ROUNDING_TOLERANCE = 1e-9;

  /** How long a task runs before it fails, if it is one that fails. */
  private static final long FAILING_RUN_MS = 300;

  private final World world;
  private final SimulatedWorker worker;
  private final Map<String, SimulatedTask> tasks = new LinkedHashMap<>();
  private final Set<String> images = new HashSet<>();
  private final Set<String> results = new HashSet<>();

  WorkerTasks(World world, SimulatedWorker worker) {
    this.world = world;
    this.worker = worker;
  }

  private long now() {
    return world.sim.now();
  }

  private static String key(String task, long attempt) {
    return task + "#" + attempt;
  }

  private JobPlan plan(SimulatedTask task) {
    return world.jobs.plan(task.job());
  }

  // ---- state -----------------------------------------------------------------------------------

  /** Reports whether a task of the job is on the machine. */
  boolean runs(String job) {
    return tasks.values().stream().anyMatch(task -> task.isOnMachine() && task.job().equals(job));
  }

  /**
   * Reports whether an attempt may still run: it has not exited, or it has not started and its job
   * is not cancelled.
   */
  boolean mayRun(String task, long attempt, boolean isCancelled) {
    SimulatedTask held = tasks.get(key(task, attempt));
    return held == null ? !isCancelled : !held.isExited();
  }

  /**
   * Returns the processors that are free: neither a running task uses them nor one that fetches its
   * image.
   */
  double freeCpus() {
    double used = 0;
    for (SimulatedTask task : tasks.values()) {
      used += task.isExited() ? 0 : plan(task).cpus();
    }
    return world.site.type(worker.type()).cpus() - used;
  }

  /** Writes all tasks into a heartbeat. */
  void writeTo(ArrayNode report) {
    tasks.values().forEach(task -> task.writeTo(report.addObject()));
  }

  // ---- progress over time ----------------------------------------------------------------------

  /** Moves each task whose phase has ended to its next phase. */
  void progress() {
    for (SimulatedTask task : tasks.values()) {
      if (task.isPhaseOver(now())) {
        endPhase(task);
      }
    }
  }

  private void endPhase(SimulatedTask task) {
    switch (task.phase()) {
      case FETCHING -> {
        images.add(plan(task).image());
        if (results.contains(task.id())) {
          exit(task, "done");
        } else {
          run(task);
        }
      }
      case RUNNING -> {
        if (willFail(task)) {
          exit(task, "error");
        } else {
          results.add(task.id());
          world.users.completed(task.id());
          exit(task, "done");
        }
      }
      default -> {
        task.keepProgress();
        exit(task, "halted");
      }
    }
  }

  private boolean willFail(SimulatedTask task) {
    return worker.isFailingTasks() || plan(task).faulty();
  }

  private void run(SimulatedTask task) {
    task.run(now());
    world.checker.started(worker, task);
    long leftMs = (long) (plan(task).runS() * MS_PER_S) - world.jobs.savedMs(task.id());
    task.runUntil(now() + (willFail(task) ? FAILING_RUN_MS : Math.max(1, leftMs)));
    worker.requestHeartbeat();
  }

  private void exit(SimulatedTask task, String cause) {
    leaveMachine(task);
    task.exit(cause);
    worker.requestHeartbeat();
  }

  private void leaveMachine(SimulatedTask task) {
    if (task.leaveMachine()) {
      world.checker.stopped(worker, task);
    }
  }

  /**
   * Ends and removes all tasks.
   *
   * @return whether there were any
   */
  boolean killAll() {
    boolean any = !tasks.isEmpty();
    List.copyOf(tasks.values()).forEach(this::leaveMachine);
    tasks.clear();
    return any;
  }

  // ---- commands --------------------------------------------------------------------------------

  /** Executes a command. */
  void execute(JsonNode command) {
    String id = command.path("piece").asText();
    long attempt = command.path("try").asLong();
    SimulatedTask task = tasks.get(key(id, attempt));
    switch (command.path("verb").asText()) {
      case "start" -> {
        if (task == null) {
          world.checker.startCommanded(worker, id, attempt);
          start(id, attempt);
        }
      }
      case "stop" -> {
        if (task != null && !task.isExited()) {
          stop(task, command.path("windDownS").asDouble());
        }
      }
      case "reap" -> {
        if (task != null && task.isExited()) {
          world.checker.reapCommanded(worker, id, attempt);
          tasks.remove(key(id, attempt));
          worker.requestHeartbeat();
        }
      }
      default -> world.checker.report("unknown_command: " + command);
    }
  }

  private void start(String id, long attempt) {
    SimulatedTask task = new SimulatedTask(id, attempt);
    double usedCpus = 0;
    boolean busy = false;
    for (SimulatedTask other : tasks.values()) {
      if (!other.isExited()) {
        usedCpus += plan(other).cpus();
        busy |= other.id().equals(id);
      }
    }
    tasks.put(key(id, attempt), task);
    worker.requestHeartbeat();
    JobPlan plan = plan(task);
    if (plan == null) {
      task.exit("unknown");
    } else if (busy) {
      task.exit("busy");
    } else if (usedCpus + plan.cpus()
        > world.site.type(worker.type()).cpus() + ROUNDING_TOLERANCE) {
      task.exit("full");
      world.counters.addStartRefusedForResources();
    } else {
      boolean cached = images.contains(plan.image());
      task.fetchUntil(now() + (cached ? 0 : (long) (plan.fetchS() * MS_PER_S)));
    }
  }

  private void stop(SimulatedTask task, double windDownS) {
    JobPlan plan = plan(task);
    boolean saves = plan.checkpoints() && windDownS >= plan.checkpointS();
    if (task.phase() == TaskPhase.RUNNING && saves) {
      world.jobs.addSavedMs(task.id(), now() - task.runningSinceMs());
      task.saveUntil(now() + (long) (plan.checkpointS() * MS_PER_S));
    } else if (task.phase() != TaskPhase.SAVING || windDownS == 0) {
      exit(task, "halted");
    }
    worker.requestHeartbeat();
  }
}
