package shorecrank.sim;

import java.util.Map;
import shorecrank.protocol.RolloutMessages.RolloutPhase;

/**
 * Expectations about the feature level, the forms of job records, and the answers to operators'
 * orders about the level.
 */
final class RolloutExpectations {
  static final Map<String, Expectation.Reader> EXPECTATIONS =
      Map.of(
          "level", RolloutExpectations::level,
          "phase", RolloutExpectations::phase,
          "dense", RolloutExpectations::dense,
          "rollout-order", RolloutExpectations::order,
          "rises", RolloutExpectations::rises,
          "falls", RolloutExpectations::falls,
          "archived", RolloutExpectations::archived);

  private RolloutExpectations() {}

  private static Expectation of(Expectation.Condition condition) {
    return Expectation.of(condition, world -> " " + world.rollouts.describe());
  }

  /** Parses {@code level LEVEL}: the feature level in force. */
  private static Expectation level(ScenarioLine line) {
    int level = line.integer(1);
    return of(world -> world.rollouts.state().level().value() == level);
  }

  /** Parses {@code phase PHASE}: the phase of the rollout. */
  private static Expectation phase(ScenarioLine line) {
    RolloutPhase phase = line.constant(1, RolloutPhase.class);
    return of(world -> world.rollouts.state().phase() == phase);
  }

  /** Parses {@code dense none|some}: whether any record is in the dense form. */
  private static Expectation dense(ScenarioLine line) {
    boolean none = line.word(1).equals("none");
    return of(world -> (world.rollouts.denseRecordCount() == 0) == none);
  }

  /**
   * Parses {@code rollout-order ID accepted|refused [TEXT]}: the answers to the order, and a text
   * that they contain.
   */
  private static Expectation order(ScenarioLine line) {
    ExpectedOrderAnswer answer = ExpectedOrderAnswer.read(line);
    return of(world -> answer.matches(world.rollouts.orders()));
  }

  /** Parses {@code rises COUNT}: how often the feature level rose. */
  private static Expectation rises(ScenarioLine line) {
    int count = line.integer(1);
    return of(world -> world.checker.rollout().rises() == count);
  }

  /** Parses {@code falls COUNT}: how often the feature level fell. */
  private static Expectation falls(ScenarioLine line) {
    int count = line.integer(1);
    return of(world -> world.checker.rollout().falls() == count);
  }

  /** Parses {@code archived}: the latest archive matches the keys at the time of its creation. */
  private static Expectation archived(ScenarioLine line) {
    return of(world -> new StoredArchive(world.store, world.rollouts.state().archive()).matches());
  }
}
