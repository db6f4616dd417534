package shorecrank.sim;

import java.util.HashMap;
import java.util.Map;

/** The registry of all scenario actions by name. */
final class Actions {
  private static final Map<String, Action.Reader> BY_NAME = new HashMap<>();

  static {
    addAll(ControllerFaults.ACTIONS);
    addAll(MachineFaults.ACTIONS);
    addAll(NetworkFaults.ACTIONS);
    addAll(ServiceFaults.ACTIONS);
    addAll(UserActions.ACTIONS);
    addAll(RolloutActions.ACTIONS);
    addAll(ShareActions.ACTIONS);
    addAll(Map.of("expect", line -> Expectations.read(line.from(1))));
  }

  private Actions() {}

  private static void addAll(Map<String, Action.Reader> readers) {
    readers.forEach(
        (name, reader) -> {
          if (BY_NAME.put(name, reader) != null) {
            throw new IllegalStateException("two actions are named " + name);
          }
        });
  }

  /**
   * Parses an action whose name is the first word of the line.
   *
   * @throws ScenarioSyntaxException if there is no such action or its words can't be parsed
   */
  static Action read(ScenarioLine line) {
    Action.Reader reader = BY_NAME.get(line.word(0));
    if (reader == null) {
      throw line.error("no action is named '" + line.word(0) + "'");
    }
    return reader.read(line);
  }
}
