package shorecrank.sim;

/** A scenario line that configures a world before its controllers start. */
@FunctionalInterface
interface Declaration {
  /** Applies the declaration; declarations are applied in the order of their lines. */
  void apply(ScenarioSetup setup);

  /** Parses the words of a line, the first of which is the declaration's name. */
  @FunctionalInterface
  interface Reader {
    /**
     * Returns the declaration that the words describe.
     *
     * @throws ScenarioSyntaxException if the words can't be parsed
     */
    Declaration read(ScenarioLine line);
  }
}
