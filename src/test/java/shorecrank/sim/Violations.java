package shorecrank.sim;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** What broke a rule, with the simulated time; only the first are kept. */
final class Violations {
  private static final int MAX_KEPT = 20;
  private static final double MS_PER_S = 1000;

  private final Simulation sim;
  private final List<String> texts = new ArrayList<>();

  Violations(Simulation sim) {
    this.sim = sim;
  }

  /** A rule is broken; the text begins with its name. */
  void add(String text) {
    if (texts.size() < MAX_KEPT) {
      texts.add(String.format("%.2f s: %s", sim.now() / MS_PER_S, text));
    }
  }

  /** The first of them, in the order of time. */
  List<String> texts() {
    return Collections.unmodifiableList(texts);
  }
}
