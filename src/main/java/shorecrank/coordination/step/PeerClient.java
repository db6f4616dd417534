package shorecrank.coordination.step;

import static shorecrank.protocol.HttpStatus.OK;
import static shorecrank.protocol.HttpStatus.UNAVAILABLE;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.function.IntPredicate;
import shorecrank.protocol.HeartbeatAnswerCodec;
import shorecrank.protocol.HeartbeatCodec;
import shorecrank.protocol.HeartbeatMessages.Heartbeat;
import shorecrank.protocol.HeartbeatMessages.HeartbeatAnswer;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.PeerPaths;
import shorecrank.protocol.StatusQueryCodec;
import shorecrank.protocol.UserMessages.JobStatus;

/**
 * The client for calls to other controllers. Every method returns at once; the result of the call
 * is delivered exactly once, in a later step.
 */
public final class PeerClient {
  private final StepContext context;

  PeerClient(StepContext context) {
    this.context = context;
  }

  /**
   * Sends a heartbeat to the leader.
   *
   * @param callback receives the result
   */
  public void sendHeartbeat(
      ControllerName to, Heartbeat heartbeat, int timeoutMs, Consumer<HeartbeatResult> callback) {
    context.callPeer(
        to,
        PeerPaths.HEARTBEAT,
        HeartbeatCodec.write(heartbeat),
        timeoutMs,
        (status, body) -> callback.accept(heartbeatResult(status, body)));
  }

  private static HeartbeatResult heartbeatResult(int status, JsonNode body) {
    return switch (status) {
      case OK -> {
        HeartbeatAnswer answer = HeartbeatAnswerCodec.read(body).orElse(null);
        yield answer == null
            ? new HeartbeatResult.Malformed()
            : new HeartbeatResult.Answered(answer);
      }
      case UNAVAILABLE -> new HeartbeatResult.Refused(HeartbeatAnswerCodec.isStoreReachable(body));
      default -> new HeartbeatResult.Unanswered();
    };
  }

  /**
   * Queries a shard's owner for the status of jobs.
   *
   * @param callback receives the status of each job that the owner knows; empty if the owner does
   *     not answer
   */
  public void queryStatus(
      ControllerName owner,
      ShardId shard,
      Collection<JobId> jobs,
      int timeoutMs,
      Consumer<Map<JobId, JobStatus>> callback) {
    context.callPeer(
        owner,
        PeerPaths.STATUS_QUERY,
        StatusQueryCodec.writeQuery(shard, jobs),
        timeoutMs,
        (status, body) ->
            callback.accept(
                status == OK ? StatusQueryCodec.readAnswer(body) : Map.<JobId, JobStatus>of()));
  }

  /**
   * Forwards a request to another controller and replies to its sender with that controller's
   * answer.
   *
   * @param message the request in the form that the path of the other controller expects
   * @param reply identifies the request to reply to
   * @param isPassedOn tests whether an answer with the given status is passed on to the sender
   * @param fallback receives the status of an answer that is not passed on; 0 if no answer came
   *     within the timeout
   */
  public void forward(
      ControllerName to,
      String path,
      JsonNode message,
      int timeoutMs,
      long reply,
      IntPredicate isPassedOn,
      IntConsumer fallback) {
    context.callPeer(
        to,
        path,
        message,
        timeoutMs,
        (status, body) -> {
          if (isPassedOn.test(status)) {
            context.reply(reply, status, body);
          } else {
            fallback.accept(status);
          }
        });
  }
}
