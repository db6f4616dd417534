package shorecrank.sim;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The log lines of all controllers, and actions that run when a text is first logged. */
final class ControllerLog {
  private static final double MS_PER_S = 1000;

  private final Simulation sim;
  private final boolean verbose;
  private final List<String> lines = new ArrayList<>();
  private final Map<String, Runnable> triggers = new TreeMap<>();

  /**
   * @param verbose whether lines are also printed
   */
  ControllerLog(Simulation sim, boolean verbose) {
    this.sim = sim;
    this.verbose = verbose;
  }

  /**
   * Records a line that a controller has logged, and schedules the actions that wait for its text.
   */
  void add(String label, String text) {
    if (verbose) {
      System.out.printf("%9.3f %s %s%n", sim.now() / MS_PER_S, label, text);
    }
    lines.add(text);
    // Scheduled at the current time: the action runs before any message that is sent later in this
    // step arrives.
    for (Iterator<Map.Entry<String, Runnable>> all = triggers.entrySet().iterator();
        all.hasNext(); ) {
      Map.Entry<String, Runnable> trigger = all.next();
      if (text.contains(trigger.getKey())) {
        all.remove();
        sim.after(0, trigger.getValue());
      }
    }
  }

  /**
   * Registers an action to run once, when a controller first logs the text; actions registered
   * earlier for the same text run before it.
   */
  void whenLogged(String text, Runnable action) {
    triggers.merge(
        text,
        action,
        (first, second) ->
            () -> {
              first.run();
              second.run();
            });
  }

  /**
   * Registers an action to run once, when a controller first logs the text, in place of any action
   * registered for the same text.
   */
  void replaceWhenLogged(String text, Runnable action) {
    triggers.put(text, action);
  }

  /** Returns the first line that contains the text. */
  Optional<String> firstContaining(String text) {
    return lines.stream().filter(line -> line.contains(text)).findFirst();
  }
}
