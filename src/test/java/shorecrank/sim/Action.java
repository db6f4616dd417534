package shorecrank.sim;

/**
 * An action of a scenario line, such as a fault or a user request, that is run at a simulated time.
 */
@FunctionalInterface
interface Action {
  /** Performs the action once, at the current simulated time. */
  void run(World world);

  /** Parses the words of an action, the first of which is its name. */
  @FunctionalInterface
  interface Reader {
    /**
     * Returns the action that the words describe.
     *
     * @throws ScenarioSyntaxException if the words can't be parsed
     */
    Action read(ScenarioLine line);
  }
}
