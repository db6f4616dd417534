package shorecrank.sim;

/** What a scenario line says of a world before its controllers start. */
@FunctionalInterface
interface Declaration {
  /** Describes it, in the order of the lines. */
  void apply(ScenarioSetup setup);

  /** Reads the words of a line, of which the first is the declaration's name. */
  @FunctionalInterface
  interface Reader {
    /**
     * The declaration that the words make.
     *
     * @throws ScenarioSyntaxException if they make none
     */
    Declaration read(ScenarioLine line);
  }
}
