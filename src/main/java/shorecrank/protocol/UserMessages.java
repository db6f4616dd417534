package shorecrank.protocol;

import com.fasterxml.jackson.databind.node.ObjectNode;
import shorecrank.protocol.Ids.JobId;

/** Answers to users. */
public final class UserMessages {
  private UserMessages() {}

  /** Where a job stands, as its user sees it. */
  public enum JobState {
    QUEUED("queued"),
    RUNNING("running"),
    DONE("done"),
    CANCELLED("withdrawn");

    final String wire;

    JobState(String wire) {
      this.wire = wire;
    }

    /** Null if there is no such phase. */
    static JobState of(String wire) {
      for (JobState p : values()) {
        if (p.wire.equals(wire)) {
          return p;
        }
      }
      return null;
    }
  }

  /** What a user is told of a job. */
  public record JobStatus(JobState phase, int done, int running) {}

  public static ObjectNode status(JobId id, JobStatus s) {
    return phase(id, s.phase).put("done", s.done).put("running", s.running);
  }

  public static ObjectNode phase(JobId id, JobState phase) {
    return Json.object().put("nameId", id.value()).put("phase", phase.wire);
  }
}
