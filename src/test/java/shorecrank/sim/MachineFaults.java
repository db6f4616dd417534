package shorecrank.sim;

import java.util.Map;

/** Scenario actions that make machines hang, fail tasks, or be reclaimed by the cloud. */
final class MachineFaults {
  static final Map<String, Action.Reader> ACTIONS =
      Map.of(
          "hang", MachineFaults::hang,
          "fail-tasks", MachineFaults::failTasks,
          "preempt-machine", MachineFaults::preempt,
          "preemption-notice", MachineFaults::preemptionNotice,
          "capacity", MachineFaults::capacity);

  private MachineFaults() {}

  /** Parses {@code hang MACHINES SECONDS}: the machines run nothing for this time. */
  private static Action hang(ScenarioLine line) {
    MachineSelector machines = MachineSelector.read(line, 1);
    long durationMs = line.milliseconds(2);
    return world -> machines.forEach(world, worker -> worker.hang(durationMs));
  }

  /** Parses {@code fail-tasks MACHINES}: every task on the machines fails from now on. */
  private static Action failTasks(ScenarioLine line) {
    MachineSelector machines = MachineSelector.read(line, 1);
    return world -> machines.forEach(world, worker -> worker.startFailingTasks());
  }

  /** Parses {@code preempt-machine MACHINES}: the cloud reclaims the machines without notice. */
  private static Action preempt(ScenarioLine line) {
    MachineSelector machines = MachineSelector.read(line, 1);
    return world -> machines.forEach(world, worker -> world.cloud.removeMachine(worker.name()));
  }

  /**
   * Parses {@code preemption-notice MACHINES SECONDS}: the cloud announces that it reclaims the
   * machines, and does so after this time.
   */
  private static Action preemptionNotice(ScenarioLine line) {
    MachineSelector machines = MachineSelector.read(line, 1);
    double noticeS = line.decimal(2);
    long noticeMs = line.milliseconds(2);
    return world ->
        machines.forEach(
            world,
            worker -> {
              worker.announcePreemption(noticeS);
              world.sim.after(noticeMs, () -> world.cloud.removeMachine(worker.name()));
            });
  }

  /** Parses {@code capacity COUNT}: sets how many machines the cloud rents at a time. */
  private static Action capacity(ScenarioLine line) {
    int capacity = line.integer(1);
    return world -> world.cloud.setCapacity(capacity);
  }
}
