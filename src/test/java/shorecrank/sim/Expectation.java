package shorecrank.sim;

/** What an {@code expect} line asks of a world at its time, beyond the rules of the checker. */
interface Expectation {
  /** Whether it is so now. */
  boolean holds(World world);

  /** What there is instead, for the report of a failure; may be empty. */
  String describeActual(World world);

  /** Reads the words after {@code expect}, of which the first is the expectation's name. */
  @FunctionalInterface
  interface Reader {
    /**
     * The expectation that the words describe.
     *
     * @throws ScenarioSyntaxException if they describe none
     */
    Expectation read(ScenarioLine line);
  }

  /** Tells something of a world. */
  @FunctionalInterface
  interface Condition {
    /** Whether it is so now. */
    boolean holds(World world);
  }

  /** Tells what there is. */
  @FunctionalInterface
  interface Description {
    /** What there is now. */
    String of(World world);
  }

  /** One of two functions. */
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
