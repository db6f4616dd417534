package shorecrank.sim;

import java.util.Set;

/**
 * The start of a task on a machine.
 *
 * @param task the task's id
 * @param job the id of the task's job
 * @param machinesBefore the names of the machines that the task was on when it started
 */
record TaskStart(
    SimulatedWorker worker, String task, String job, JobPlan plan, Set<String> machinesBefore) {}
