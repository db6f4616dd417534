package shorecrank.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** An attempt to run a task on a simulated machine. */
final class SimulatedTask {
  private final String id;
  private final long attempt;
  private TaskPhase phase = TaskPhase.FETCHING;
  private String cause = "";
  private boolean progressKept;
  private boolean onMachine;
  private long phaseEndsAtMs;
  private long runningSinceMs;

  SimulatedTask(String id, long attempt) {
    this.id = id;
    this.attempt = attempt;
  }

  /** Returns the task's id as on the wire: job and index. */
  String id() {
    return id;
  }

  /** Returns the id of the task's job. */
  String job() {
    return SubmittedJobs.jobOf(id);
  }

  /** Returns the current phase. */
  TaskPhase phase() {
    return phase;
  }

  boolean isExited() {
    return phase == TaskPhase.EXITED;
  }

  /**
   * Reports whether the attempt counts as being on its machine by the protocol's rules: from the
   * start of the task until it ends.
   */
  boolean isOnMachine() {
    return onMachine;
  }

  /** Returns the simulated time at which the task started to run, in milliseconds. */
  long runningSinceMs() {
    return runningSinceMs;
  }

  /** Reports whether the current phase ends at the given time, if nothing ended it earlier. */
  boolean isPhaseOver(long nowMs) {
    return !isExited() && nowMs >= phaseEndsAtMs;
  }

  /** Sets the time at which the image will have been fetched. */
  void fetchUntil(long ms) {
    phaseEndsAtMs = ms;
  }

  /** Starts the task: its image is fetched, and it is on its machine from now on. */
  void run(long nowMs) {
    phase = TaskPhase.RUNNING;
    onMachine = true;
    runningSinceMs = nowMs;
  }

  /** Sets the time at which the task will complete if nothing stops it. */
  void runUntil(long ms) {
    phaseEndsAtMs = ms;
  }

  /**
   * Starts to save a checkpoint, after a command to stop.
   *
   * @param ms simulated time at which the checkpoint will be saved
   */
  void saveUntil(long ms) {
    phase = TaskPhase.SAVING;
    phaseEndsAtMs = ms;
  }

  /** Marks the checkpoint as saved. */
  void keepProgress() {
    progressKept = true;
  }

  /**
   * Ends the attempt.
   *
   * @param exitCause the cause as on the wire
   */
  void exit(String exitCause) {
    phase = TaskPhase.EXITED;
    cause = exitCause;
  }

  /**
   * Takes the attempt off its machine.
   *
   * @return whether it was on the machine
   */
  boolean leaveMachine() {
    boolean wasOnMachine = onMachine;
    onMachine = false;
    return wasOnMachine;
  }

  /** Writes the attempt's state into a heartbeat. */
  void writeTo(ObjectNode report) {
    report.put("piece", id).put("try", attempt).put("phase", phase.wireName());
    if (isExited()) {
      report.put("cause", cause);
      if (progressKept) {
        report.put("kept", true);
      }
    }
  }
}
