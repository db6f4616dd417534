package shorecrank.sim;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import shorecrank.config.SettingsFile;

/**
 * Real controller processes on loopback under load and random faults, watched from outside by the
 * rules of the simulation. All times are in real time, from the start of the fleet.
 */
public final class SoakFleet implements AutoCloseable {
  private static final long SUBMIT_EVERY_MS = 600;
  private static final long POLL_MS = 10;
  private static final long MS_PER_S = 1000;

  /** The longest that a job may wait while a machine has room, according to the users. */
  private static final long MAX_WAIT_MS = 90_000;

  private final ProcessWorld world;
  private final List<String> schedule;
  private final SteadyLoad load;
  private final PipelineLoad pipelines;
  private final QueryPressure pressure;
  private final long submitUntilMs;
  private boolean isOver;

  /**
   * Draws the faults from a seed and starts the controllers.
   *
   * @param directory receives the controllers' files and logs
   * @param submitS for how long jobs are submitted and asked about, in seconds
   */
  public SoakFleet(long seed, Path directory, SoakPlan plan, double submitS) throws Exception {
    Files.createDirectories(directory);
    world = new ProcessWorld(seed, ProgramVersions.current(), directory, SettingsFile.defaults());
    world.relayPeers();
    world.setUpSmallSite();
    plan.configure(world);
    world.cloud.setCapacity(plan.machines() + 2);
    // Drawn first, so that the faults depend on nothing but the seed.
    schedule = plan.schedule(world);
    submitUntilMs = (long) (submitS * MS_PER_S);
    world.users.behavior().queryAllControllersFor(submitUntilMs);
    world.startControllers(plan.controllers());
    for (int i = 0; i < plan.machines(); i++) {
      world.cloud.addMachine("p8", i % 2 == 0 ? "a" : "b", false, 0);
    }
    load = new SteadyLoad(world, () -> world.sim.now() < submitUntilMs);
    load.submitEvery(SUBMIT_EVERY_MS);
    pipelines = new PipelineLoad(world, () -> world.sim.now() < submitUntilMs);
    pressure = new QueryPressure(world, plan.queriesPerS(), () -> !isOver);
  }

  /** Returns the faults with their times, in the order in which they were drawn. */
  public List<String> schedule() {
    return schedule;
  }

  /**
   * Runs until the time of the last fault, and then until all faults are over and all jobs have
   * ended, or a rule is violated.
   */
  public void run() {
    world.runUntil(() -> world.sim.now() >= submitUntilMs || hasFailed(), Long.MAX_VALUE / 2);
    world.runUntil(
        () -> world.faults.areOverAt(world.sim.now()) || hasFailed(), Long.MAX_VALUE / 2);
    long boundMs = new Backlog(world).durationMs() + MAX_WAIT_MS;
    if (!world.runUntil(() -> world.areAllJobsSettled() || hasFailed(), boundMs)) {
      world.checker.report("unfinished: not all jobs have ended " + boundMs + " ms after faults");
    }
    isOver = true;
    world.checker.end();
  }

  private boolean hasFailed() {
    return !world.checker.violations().isEmpty() || !world.unexpectedlyEnded().isEmpty();
  }

  /** Returns the violations of rules, and the controllers that have ended by themselves. */
  public List<String> violations() {
    List<String> all = new ArrayList<>(world.checker.violations());
    world.unexpectedlyEnded().forEach(end -> all.add("controller ended by itself: " + end));
    return all;
  }

  /** Describes how much was run. */
  public String summary() {
    return "jobs %d, queries %d, ended %d, starts %d, %.0f s"
        .formatted(
            load.submitted() + pipelines.submitted(),
            pressure.sent(),
            world.checker.answers().endedJobCount(),
            world.checker.tasks().starts(),
            (double) world.sim.now() / MS_PER_S);
  }

  /** Ends the process of a controller after some time, to show that such an end is reported. */
  public void endController(int index, long afterMs) {
    world.sim.after(afterMs, world.process(index)::destroy);
  }

  /** Has all queries about a job lost once it is accepted, to show that the checks can fail. */
  public void loseRequestsAbout(String job) {
    if (world.checker.answers().isAccepted(job)) {
      world.users.client().dropRequestsAbout(job);
    } else {
      world.sim.after(POLL_MS, () -> loseRequestsAbout(job));
    }
  }

  @Override
  public void close() throws IOException {
    world.close();
  }
}
