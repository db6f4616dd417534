package shorecrank.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** An attempt of a task on a simulated machine. */
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

  /** Job and index, as on the wire. */
  String id() {
    return id;
  }

  /** The id of its job. */
  String job() {
    return SubmittedJobs.jobOf(id);
  }

  /** Where it stands. */
  TaskPhase phase() {
    return phase;
  }

  boolean isExited() {
    return phase == TaskPhase.EXITED;
  }

  /** Whether it is on its machine, as the protocol's rules count that. */
  boolean isOnMachine() {
    return onMachine;
  }

  /** When it came to run. */
  long runningSinceMs() {
    return runningSinceMs;
  }

  /** Whether its phase ends now, if nothing ends it before. */
  boolean isPhaseOver(long nowMs) {
    return !isExited() && nowMs >= phaseEndsAtMs;
  }

  /** It waits for its image until then. */
  void fetchUntil(long ms) {
    phaseEndsAtMs = ms;
  }

  /** It has its image, and is on its machine from now on. */
  void run(long nowMs) {
    phase = TaskPhase.RUNNING;
    onMachine = true;
    runningSinceMs = nowMs;
  }

  /** It runs until then, if nothing stops it. */
  void runUntil(long ms) {
    phaseEndsAtMs = ms;
  }

  /** It was told to stop, and saves its progress until then. */
  void saveUntil(long ms) {
    phase = TaskPhase.SAVING;
    phaseEndsAtMs = ms;
  }

  /** Its progress is saved. */
  void keepProgress() {
    progressKept = true;
  }

  /** It ends. */
  void exit(String why) {
    phase = TaskPhase.EXITED;
    cause = why;
  }

  /** It is on its machine no more; returns whether it was. */
  boolean leaveMachine() {
    boolean was = onMachine;
    onMachine = false;
    return was;
  }

  /** Puts it into a report. */
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
