package shorecrank.sim;

/**
 * A condition that an {@code expect} line of a scenario checks at a simulated time, in addition to
 * the rules of the checker.
 */
interface Expectation {
  /** Reports whether the condition holds now. */
  boolean holds(World world);

  /** Returns the actual state for the message of a failure; may be empty. */
  String describeActual(World world);

  /** Parses the words after {@code expect}, the first of which is the expectation's name. */
  @FunctionalInterface
  interface Reader {
    /**
     * Returns the expectation that the words describe.
     *
     * @throws ScenarioSyntaxException if the words can't be parsed
     */
    Expectation read(ScenarioLine line);
  }

  /** A predicate over the current state of a world. */
  @FunctionalInterface
  interface Condition {
    /** Reports whether the condition holds now. */
    boolean holds(World world);
  }

  /** A function that describes the current state of a world. */
  @FunctionalInterface
  interface Description {
    /** Returns the description of the current state. */
    String of(World world);
  }

  /** Returns an expectation that is made of the two functions. */
  static Expectation of(Condition condition, Description description) {
    return new Expectation() {
      @Override
      public boolean holds(World world) {
        return condition.holds(world);
      }

      @Override
      public String describeActual(World world) {
        return description.of(world);
      }
    };
  }
}
