package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import shorecrank.protocol.Json;

/**
 * A user's request about a job.
 *
 * @param message the request as sent to a controller
 * @param timeoutMs how long the user waits for the answer, in milliseconds
 */
record UserRequest(Kind kind, String job, ControllerRequest message, int timeoutMs) {
  private static final String JOBS = "/api/jobs";
  private static final int CHANGE_TIMEOUT_MS = 5000;
  private static final int QUERY_TIMEOUT_MS = 2000;
  private static final double CHECKPOINT_EVERY_S = 5;

  /** Kinds of requests. */
  enum Kind {
    SUBMIT,
    QUERY,
    CANCEL,
    /** A submission that must be refused. */
    MALFORMED
  }

  /** Creates a submission of a job, which may have been submitted before. */
  static UserRequest submit(String job, JobPlan plan) {
    return change(Kind.SUBMIT, job, JOBS, write(job, plan));
  }

  /** Creates a submission with an invalid job description. */
  static UserRequest malformed(String job, JsonNode description) {
    return change(Kind.MALFORMED, job, JOBS, description);
  }

  /** Creates a request to cancel a job. */
  static UserRequest cancel(String job) {
    return change(Kind.CANCEL, job, JOBS + "/" + job + "/abort", Json.object());
  }

  private static UserRequest change(Kind kind, String job, String path, JsonNode body) {
    ControllerRequest message = new ControllerRequest(false, "POST", path, body);
    return new UserRequest(kind, job, message, CHANGE_TIMEOUT_MS);
  }

  /** Creates a query of a job's state. */
  static UserRequest query(String job) {
    ControllerRequest message = new ControllerRequest(false, "GET", JOBS + "/" + job, null);
    return new UserRequest(Kind.QUERY, job, message, QUERY_TIMEOUT_MS);
  }

  /** Returns a job's description as on the wire. */
  static ObjectNode write(String job, JobPlan plan) {
    ObjectNode written = Json.object().put("nameId", job).put("jobclass", plan.jobClass());
    written.put("owner", plan.team()).put("shape", "array").put("urgency", plan.priority());
    written.put("pieces", plan.tasks()).put("cpus", plan.cpus()).put("accelerators", 0.0);
    written.put("memoryGb", plan.memoryGb()).put("bundle", plan.image());
    written.put("pullGb", plan.fetchS());
    if (plan.machineType() == null) {
      written.putNull("hosttypes");
    } else {
      written.putArray("hosttypes").add(plan.machineType());
    }
    written.put("site", plan.zone()).put("together", plan.together()).put("spread", plan.spread());
    written.put("loaner", plan.spot()).put("guessS", plan.runS());
    written.put("snapshotEveryS", plan.checkpoints() ? CHECKPOINT_EVERY_S : 0.0);
    written.put("snapshotS", plan.checkpointS());
    if (plan.dueS() > 0) {
      written.put("dueS", plan.dueS());
    } else {
      written.putNull("dueS");
    }
    if (!plan.dependencies().isEmpty()) {
      ArrayNode dependencies = written.putArray("prereqs");
      plan.dependencies().forEach(dependencies::add);
    }
    return written;
  }
}
