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

/** Status queries to a shard's owner, which ask where jobs stand, and their answers as JSON. */
public final class StatusQueryCodec {
  /** How many jobs one query asks for at most. */
  public static final int MAX_JOBS = 400;

  private static final String STATUSES = "told";
  private static final String JOB_ID = "id";
  private static final String STATE = "phase";
  private static final String DONE = "done";
  private static final String RUNNING = "running";

  private StatusQueryCodec() {}

  /** Asks a shard's owner where jobs stand now. */
  public static ObjectNode writeQuery(ShardId shard, Collection<JobId> jobs) {
    ObjectNode message = Json.object().put(PeerFields.SHARD, shard.value());
    ArrayNode ids = message.putArray(PeerFields.JOB_IDS);
    jobs.forEach(job -> ids.add(job.value()));
    return message;
  }

  /**
   * Reads a query: the first {@link #MAX_JOBS} of its jobs, and as its shard a number that none has
   * if the message names none.
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
   * Answers a query.
   *
   * @param statuses only those that were found current in the store while the query was open
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

  /** The statuses in an answer, without those whose state is not known. */
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
