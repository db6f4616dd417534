package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A rule that must hold throughout a run, watched from outside the service. Each rule looks at
 * those events that could break it; here all are ignored.
 */
abstract class Rule {
  private final World world;
  private final Checker checker;

  /**
   * @param checker which may not be reached through the world yet
   */
  Rule(World world, Checker checker) {
    this.world = world;
    this.checker = checker;
  }

  /** Where it holds. */
  World world() {
    return world;
  }

  /** The world's time and events. */
  Simulation sim() {
    return world.sim;
  }

  /** What users have been told. */
  AnswerHistory answers() {
    return checker.answers();
  }

  /** What runs, and what was started. */
  TaskTracker tasks() {
    return checker.tasks();
  }

  /** The rule is broken; the text begins with its name. */
  void report(String text) {
    checker.report(text);
  }

  /** A task is on a machine from now on; the ledger has it already. */
  void started(TaskStart start) {}

  /** A worker is about to carry a start out. */
  void startCommanded(SimulatedWorker worker, String task, long attempt) {}

  /** A worker is about to forget an exited task. */
  void reapCommanded(SimulatedWorker worker, String task, long attempt) {}

  /** A user has an answer; what users were told does not include it yet. */
  void answered(UserAnswer answer) {}

  /** A user's request is over, maybe without an answer. */
  void requestFinished(String job, long sentAtMs, boolean isAnswered) {}

  /** A controller in this process has made a round. */
  void roundCompleted(ControllerNode node) {}

  /** The state service is about to apply a transaction. */
  void beforeTransaction(JsonNode operations) {}

  /** The run is over. */
  void ended() {}
}
