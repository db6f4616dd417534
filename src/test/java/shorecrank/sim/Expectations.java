package shorecrank.sim;

import java.util.HashMap;
import java.util.Map;

/** The registry of all expectations by name. */
final class Expectations {
  private static final Map<String, Expectation.Reader> BY_NAME = new HashMap<>();

  static {
    addAll(JobExpectations.EXPECTATIONS);
    addAll(CountExpectations.EXPECTATIONS);
    addAll(RolloutExpectations.EXPECTATIONS);
    addAll(ShareExpectations.EXPECTATIONS);
  }

  private Expectations() {}

  private static void addAll(Map<String, Expectation.Reader> readers) {
    readers.forEach(
        (name, reader) -> {
          if (BY_NAME.put(name, reader) != null) {
            throw new IllegalStateException("two expectations are named " + name);
          }
        });
  }

  /**
   * Parses an expectation whose name is the first word of the line.
   *
   * @return an action that checks the expectation when it is run, and adds a failure to the world
   *     if it is not met
   * @throws ScenarioSyntaxException if there is no such expectation or its words can't be parsed
   */
  static Action read(ScenarioLine line) {
    Expectation.Reader reader = BY_NAME.get(line.word(0));
    if (reader == null) {
      throw line.error("no expectation is named '" + line.word(0) + "'");
    }
    Expectation expectation = reader.read(line);
    return world -> {
      if (!expectation.holds(world)) {
        world.addUnmetExpectation(
            "expectation not met: " + line.source() + expectation.describeActual(world));
      }
    };
  }
}
