package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An invariant of the service that is checked throughout a simulation run, by observing messages,
 * workers and the state service. The methods for events do nothing here; each rule overrides those
 * for the events that could violate it.
 */
abstract class Rule {
  private final World world;
  private final Checker checker;

  /**
   * Creates a rule.
   *
   * @param checker the checker that receives violations; {@code world.checker} is not set yet while
   *     rules are created
   */
  Rule(World world, Checker checker) {
    this.world = world;
    this.checker = checker;
  }

  /** Returns the world in which the rule is checked. */
  World world() {
    return world;
  }

  /** Returns the simulated clock of the world. */
  Simulation sim() {
    return world.sim;
  }

  /** Returns what users have been told about their jobs. */
  AnswerHistory answers() {
    return checker.answers();
  }

  /** Returns the tasks that are on machines and the counts of starts. */
  TaskTracker tasks() {
    return checker.tasks();
  }

  /**
   * Reports a violation.
   *
   * @param text a description that begins with the name of the rule
   */
  void report(String text) {
    checker.report(text);
  }

  /** Handles a task that is on a machine from now on; {@link #tasks} includes it already. */
  void started(TaskStart start) {}

  /** Handles a start command that a worker is about to execute. */
  void startCommanded(SimulatedWorker worker, String task, long attempt) {}

  /** Handles a command to reap an exited task that a worker is about to execute. */
  void reapCommanded(SimulatedWorker worker, String task, long attempt) {}

  /** Handles an answer that a user has received; {@link #answers} does not include it yet. */
  void answered(UserAnswer answer) {}

  /**
   * Handles the end of a user's request.
   *
   * @param sentAtMs the simulated time at which the request was sent, in milliseconds
   * @param isAnswered whether the answer was 200, 201 or 404
   */
  void requestFinished(String job, long sentAtMs, boolean isAnswered) {}

  /** Handles the completion of a round of a controller that runs in this process. */
  void roundCompleted(ControllerNode node) {}

  /** Handles a transaction that the state service is about to apply. */
  void beforeTransaction(JsonNode operations) {}

  /** Handles the end of the run. */
  void ended() {}
}
