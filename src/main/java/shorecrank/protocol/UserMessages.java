package shorecrank.protocol;

import com.fasterxml.jackson.databind.node.ObjectNode;
import shorecrank.protocol.Ids.JobId;

/** Answers to users. */
public final class UserMessages {
  private UserMessages() {}

  /** Where a job stands, as its user sees it. */
  public enum Phase {
    QUEUED("queued"),
    RUNNING("running"),
    DONE("done"),
    WITHDRAWN("withdrawn");

    private final String wire;

    Phase(String wire) {
      this.wire = wire;
    }
  }

  public static ObjectNode status(JobId id, Phase phase, int done, int running) {
    return phase(id, phase).put("done", done).put("running", running);
  }

  public static ObjectNode phase(JobId id, Phase phase) {
    return Json.object().put("nameId", id.value()).put("phase", phase.wire);
  }
}
