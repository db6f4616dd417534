package shorecrank.sim;

import java.util.Set;

/**
 * A task is on a machine from now on.
 *
 * @param machinesBefore names of those that it was on already
 */
record TaskStart(
    SimulatedWorker worker, String task, String job, JobPlan plan, Set<String> machinesBefore) {}
