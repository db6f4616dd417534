package shorecrank.sim;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The violations that the rules report, with their simulated times. Only the first ones are kept.
 */
final class Violations {
  private static final int MAX_KEPT = 20;
  private static final double MS_PER_S = 1000;

  private final Simulation sim;
  private final List<String> texts = new ArrayList<>();

  Violations(Simulation sim) {
    this.sim = sim;
  }

  /**
   * Adds a violation.
   *
   * @param text a description that begins with the name of the rule
   */
  void add(String text) {
    if (texts.size() < MAX_KEPT) {
      texts.add(String.format("%.2f s: %s", sim.now() / MS_PER_S, text));
    }
  }

  /** Returns the violations that were kept, in the order of time. */
  List<String> texts() {
    return Collections.unmodifiableList(texts);
  }
}
