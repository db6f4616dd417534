package shorecrank.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import shorecrank.client.ClientCommand;
import shorecrank.config.Settings;
import shorecrank.config.SettingsFile;
import shorecrank.protocol.RolloutMessages.RolloutState;

/**
 * Three real controllers on loopback under steady load, with an operator who uses the command-line
 * client.
 */
final class ProcessFleet implements AutoCloseable {
  private static final long WAIT_MS = 60_000;

  final ProcessWorld world;
  private boolean submitting = true;
  private final SteadyLoad load;

  /** Exit status and output of a run of the command-line client. */
  record ClientResult(int status, String out, String err) {}

  ProcessFleet(long seed, ProgramVersion first, int machines) throws Exception {
    this(seed, first, machines, SettingsFile.defaults());
  }

  /**
   * @param first the version that the controllers start with
   * @param settings the contents of the settings file that the processes are started with
   */
  ProcessFleet(long seed, ProgramVersion first, int machines, Settings settings) throws Exception {
    Path logs =
        Files.createDirectories(ProgramVersions.PROJECT_DIRECTORY.resolve("target/process-fleet"));
    world = new ProcessWorld(seed, first, Files.createTempDirectory(logs, "run"), settings);
    world.setUpSmallSite();
    load = new SteadyLoad(world, () -> submitting);
    world.cloud.setCapacity(machines + 2);
    world.users.behavior().queryAllControllersFor(600_000);
    world.rollouts.enableWithDefaults();
    world.startControllers(3);
    for (int i = 0; i < machines; i++) {
      world.cloud.addMachine("p8", i % 2 == 0 ? "a" : "b", false, 0);
    }
    await("the first owner", () -> world.owner(0).isPresent() && world.leader().isPresent());
  }

  /** Returns the controller at an index from 0 to 2. */
  ControllerProcess node(int index) {
    return world.process(index);
  }

  /** Returns the rollout state that the state service holds. */
  RolloutState state() {
    return world.rollouts.state();
  }

  /** Returns how many jobs were submitted. */
  int submitted() {
    return load.submitted();
  }

  /** Submits a job at each interval for one of two teams, and cancels every fifth. */
  void submitEvery(long ms) {
    load.submitEvery(ms);
  }

  /** Crashes a controller and restarts it in another version after the given time. */
  void restartAs(int index, ProgramVersion version, long backMs) {
    node(index).upgrade(version);
    node(index).crash(backMs);
  }

  /** Runs the fleet for the given time and checks that no rule is violated. */
  void runFor(long ms) {
    world.runFor(ms);
    assertEquals(List.of(), world.checker.violations());
  }

  /**
   * Runs the fleet until a condition holds and checks that no rule is violated; fails after {@link
   * #WAIT_MS}.
   */
  void await(String what, BooleanSupplier condition) {
    await(what, condition, WAIT_MS);
  }

  private void await(String what, BooleanSupplier condition, long ms) {
    assertTrue(world.runUntil(condition, ms), "timed out waiting for " + what);
    assertEquals(List.of(), world.checker.violations());
    assertEquals(List.of(), world.unexpectedlyEnded(), "controllers ended unexpectedly");
  }

  /** Runs the client while the fleet goes on; {@code @} stands for all controllers' addresses. */
  ClientResult runClient(String... words) {
    String all =
        world.controllers().stream()
            .map(n -> world.addresses(n).peers())
            .collect(Collectors.joining(","));
    return runClientWith(all, words);
  }

  /** Runs the client while the fleet goes on; {@code @} stands for one controller's address. */
  ClientResult runClientAt(int index, String... words) {
    return runClientWith(world.addresses(node(index)).peers(), words);
  }

  private ClientResult runClientWith(String controllers, String... words) {
    List<String> line = new ArrayList<>(Arrays.asList(words));
    line.replaceAll(word -> word.equals("@") ? "--controller=" + controllers : word);
    CompletableFuture<ClientResult> run =
        CompletableFuture.supplyAsync(
            () -> {
              StringWriter out = new StringWriter();
              StringWriter err = new StringWriter();
              int status =
                  ClientCommand.run(
                      new PrintWriter(out, true),
                      new PrintWriter(err, true),
                      line.toArray(String[]::new));
              return new ClientResult(status, out.toString(), err.toString());
            });
    assertTrue(world.runUntil(run::isDone, WAIT_MS), "the client did not end: " + line);
    return run.join();
  }

  /** Stops the submissions and waits until each job has its final answer. */
  void finish() {
    submitting = false;
    await("the end of all jobs", world::areAllJobsOver);
    checkEnd();
  }

  /**
   * Stops the submissions and waits until each job has its final answer, after more work was
   * submitted than the machines could do. At least one task must end in every period of {@link
   * #WAIT_MS}, and all jobs within the time that the machines need for the backlog plus {@link
   * #WAIT_MS}. A lost job is therefore noticed {@link #WAIT_MS} after the last other task has
   * ended.
   */
  void finishBacklog() {
    long backlogMs = new Backlog(world).durationMs();
    long startedAtMs = world.sim.now();
    long endAtMs = startedAtMs + backlogMs + WAIT_MS;
    submitting = false;
    while (!world.areAllJobsOver()) {
      int results = world.jobs.resultCount();
      await(
          "the end of a task or of all jobs",
          () -> world.jobs.resultCount() > results || world.areAllJobsOver(),
          Math.min(WAIT_MS, endAtMs - world.sim.now()));
    }
    System.out.printf(
        "all jobs ended %.1f s after the last was submitted; allowed were %.1f s and %.1f s for"
            + " the backlog%n",
        (world.sim.now() - startedAtMs) / 1000.0, WAIT_MS / 1000.0, backlogMs / 1000.0);
    checkEnd();
  }

  private void checkEnd() {
    world.checker.end();
    assertEquals(List.of(), world.checker.violations());
  }

  @Override
  public void close() {
    world.close();
  }
}
