package shorecrank.sim;

/** The phase of a task on a machine, with its name in the worker protocol. */
enum TaskPhase {
  FETCHING("pulling"),
  RUNNING("running"),
  SAVING("flushing"),
  EXITED("exited");

  private final String wireName;

  TaskPhase(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the name of the phase in heartbeats. */
  String wireName() {
    return wireName;
  }
}
