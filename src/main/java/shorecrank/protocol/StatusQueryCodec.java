package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.PeerRequests.StatusQuery;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.protocol.UserMessages.JobStatus;

/**
 * Encodes and decodes queries to a shard's owner for jobs' statuses, and their answers, as JSON.
 */
public final class StatusQueryCodec {
  /** Maximum number of jobs in one query. */
  public static final int MAX_JOBS = 400;

  private static final String STATUSES = "told";
  private static final String JOB_ID = "id";
  private static final String STATE = "phase";
  private static final String DONE = "done";
  private static final String RUNNING = "running";

  private StatusQueryCodec() {}

  /** Writes a query for the current statuses of a shard's jobs. */
  public static ObjectNode writeQuery(ShardId shard, Collection<JobId> jobs) {
    ObjectNode message = Json.object().put(PeerFields.SHARD, shard.value());
    ArrayNode ids = message.putArray(PeerFields.JOB_IDS);
    jobs.forEach(job -> ids.add(job.value()));
    return message;
  }

  /**
   * Reads a query. Only the first {@link #MAX_JOBS} of its jobs are read; if the query names no
   * shard, the shard's number is -1, which no shard has.
   */
  public static StatusQuery readQuery(JsonNode message) {
    List<JobId> jobs = new ArrayList<>();
    for (JsonNode id : message.path(PeerFields.JOB_IDS)) {
      if (jobs.size() < MAX_JOBS && id.isTextual()) {
        jobs.add(new JobId(id.textValue()));
      }
    }
    return new StatusQuery(new ShardId(message.path(PeerFields.SHARD).asInt(-1)), jobs);
  }

  /**
   * Writes the answer to a query.
   *
   * @param statuses only statuses that were found to be current in the state service after the
   *     query arrived
   */
  public static ObjectNode writeAnswer(Map<JobId, JobStatus> statuses) {
    ObjectNode message = Json.object();
    ArrayNode array = message.putArray(STATUSES);
    statuses.forEach(
        (id, status) ->
            array
                .addObject()
                .put(JOB_ID, id.value())
                .put(STATE, JobStatusCodec.wireName(status.state()))
                .put(DONE, status.done())
                .put(RUNNING, status.running()));
    return message;
  }

  /**
   * Reads the statuses in an answer; jobs in a state that this version does not know are left out.
   */
  public static Map<JobId, JobStatus> readAnswer(JsonNode message) {
    Map<JobId, JobStatus> statuses = new HashMap<>();
    for (JsonNode status : message.path(STATUSES)) {
      Optional<JobState> state = JobStatusCodec.readState(status.path(STATE));
      if (state.isPresent()) {
        statuses.put(
            new JobId(status.path(JOB_ID).asText()),
            new JobStatus(state.get(), status.path(DONE).asInt(), status.path(RUNNING).asInt()));
      }
    }
    return statuses;
  }
}
