package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.protocol.UserMessages.JobStatus;

/** Encodes jobs' statuses as JSON for users. */
public final class JobStatusCodec {
  private static final String JOB_ID = "nameId";
  private static final String STATE = "phase";
  private static final String DONE = "done";
  private static final String RUNNING = "running";

  private JobStatusCodec() {}

  /** Writes a job's state and its numbers of done and running tasks. */
  public static ObjectNode writeStatus(JobId id, JobStatus status) {
    return writeState(id, status.state()).put(DONE, status.done()).put(RUNNING, status.running());
  }

  /** Writes only a job's state. */
  public static ObjectNode writeState(JobId id, JobState state) {
    return Json.object().put(JOB_ID, id.value()).put(STATE, wireName(state));
  }

  /** Returns a state's name on the wire. */
  static String wireName(JobState state) {
    return switch (state) {
      case QUEUED -> "queued";
      case RUNNING -> "running";
      case DONE -> "done";
      case CANCELLED -> "withdrawn";
    };
  }

  /** Reads a state; empty if no state has this name. */
  static Optional<JobState> readState(JsonNode value) {
    String name = Json.text(value);
    for (JobState state : JobState.values()) {
      if (wireName(state).equals(name)) {
        return Optional.of(state);
      }
    }
    return Optional.empty();
  }
}
