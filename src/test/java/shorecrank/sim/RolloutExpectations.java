package shorecrank.sim;

import java.util.Map;
import shorecrank.protocol.RolloutMessages.RolloutPhase;

/** The feature level, the forms of records, and answers to operators' orders of the level. */
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

  /** {@code level LEVEL}: the one in force. */
  private static Expectation level(ScenarioLine line) {
    int level = line.integer(1);
    return of(world -> world.rollouts.state().level().value() == level);
  }

  /** {@code phase PHASE}. */
  private static Expectation phase(ScenarioLine line) {
    RolloutPhase phase = line.constant(1, RolloutPhase.class);
    return of(world -> world.rollouts.state().phase() == phase);
  }

  /** {@code dense none|some}: records in the dense form. */
  private static Expectation dense(ScenarioLine line) {
    boolean none = line.word(1).equals("none");
    return of(world -> (world.rollouts.denseRecordCount() == 0) == none);
  }

  /** {@code rollout-order ID accepted|refused [words that the answer holds]}. */
  private static Expectation order(ScenarioLine line) {
    ExpectedOrderAnswer answer = ExpectedOrderAnswer.read(line);
    return of(world -> answer.matches(world.rollouts.orders()));
  }

  /** {@code rises COUNT}. */
  private static Expectation rises(ScenarioLine line) {
    int count = line.integer(1);
    return of(world -> world.checker.rollout().rises() == count);
  }

  /** {@code falls COUNT}. */
  private static Expectation falls(ScenarioLine line) {
    int count = line.integer(1);
    return of(world -> world.checker.rollout().falls() == count);
  }

  /** {@code archived}: the latest archive shows the keys as they were. */
  private static Expectation archived(ScenarioLine line) {
    return of(world -> new StoredArchive(world.store, world.rollouts.state().archive()).matches());
  }
}
