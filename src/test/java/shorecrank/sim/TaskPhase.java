package shorecrank.sim;

/** Where a task on a machine stands, with the protocol's names. */
enum TaskPhase {
  FETCHING("pulling"),
  RUNNING("running"),
  SAVING("flushing"),
  EXITED("exited");

  private final String wireName;

  TaskPhase(String wireName) {
    this.wireName = wireName;
  }

  /** As in reports. */
  String wireName() {
    return wireName;
  }
}
