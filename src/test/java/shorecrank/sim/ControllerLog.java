package shorecrank.sim;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** What controllers logged, and what happens when they first log something. */
final class ControllerLog {
  private static final double MS_PER_S = 1000;

  private final Simulation sim;
  private final boolean verbose;
  private final List<String> lines = new ArrayList<>();
  private final Map<String, Runnable> triggers = new TreeMap<>();

  /**
   * @param verbose whether lines are printed too
   */
  ControllerLog(Simulation sim, boolean verbose) {
    this.sim = sim;
    this.verbose = verbose;
  }

  /** A controller logs a line. */
  void add(String label, String text) {
    if (verbose) {
      System.out.printf("%9.3f %s %s%n", sim.now() / MS_PER_S, label, text);
    }
    lines.add(text);
    // What is to happen at this very moment: before anything else of this step takes effect.
    for (Iterator<Map.Entry<String, Runnable>> all = triggers.entrySet().iterator();
        all.hasNext(); ) {
      Map.Entry<String, Runnable> trigger = all.next();
      if (text.contains(trigger.getKey())) {
        all.remove();
        sim.after(0, trigger.getValue());
      }
    }
  }

  /** Has something done, once, when a controller first logs a text, after what was asked before. */
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

  /** Has something done, once, when a controller first logs a text, and nothing else then. */
  void replaceWhenLogged(String text, Runnable action) {
    triggers.put(text, action);
  }

  /** The first line that holds a text. */
  Optional<String> firstContaining(String text) {
    return lines.stream().filter(line -> line.contains(text)).findFirst();
  }
}
