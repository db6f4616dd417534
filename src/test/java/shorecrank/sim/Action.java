package shorecrank.sim;

/** What a scenario line does to a world at its time. */
@FunctionalInterface
interface Action {
  /** Does it, once, in simulated time. */
  void run(World world);

  /** Reads the words of an action, of which the first is its name. */
  @FunctionalInterface
  interface Reader {
    /**
     * The action that the words describe.
     *
     * @throws ScenarioSyntaxException if they describe none
     */
    Action read(ScenarioLine line);
  }
}
