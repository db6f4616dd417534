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
 * The other controllers as the steps of the state machine call them. Every call returns at once;
 * its result comes in a later step, exactly once.
 */
public final class PeerClient {
  private final StepContext context;

  PeerClient(StepContext context) {
    this.context = context;
  }

  /** Sends a heartbeat to the leader. */
  public void sendHeartbeat(
      ControllerName to, Heartbeat heartbeat, int timeoutMs, Consumer<HeartbeatResult> then) {
    context.callPeer(
        to,
        PeerPaths.HEARTBEAT,
        HeartbeatCodec.write(heartbeat),
        timeoutMs,
        (status, body) -> then.accept(heartbeatResult(status, body)));
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
   * Asks a shard's owner where jobs stand.
   *
   * @param then takes the answers; jobs of which the owner can't tell are not among them
   */
  public void queryStatus(
      ControllerName owner,
      ShardId shard,
      Collection<JobId> jobs,
      int timeoutMs,
      Consumer<Map<JobId, JobStatus>> then) {
    context.callPeer(
        owner,
        PeerPaths.STATUS_QUERY,
        StatusQueryCodec.writeQuery(shard, jobs),
        timeoutMs,
        (status, body) ->
            then.accept(
                status == OK ? StatusQueryCodec.readAnswer(body) : Map.<JobId, JobStatus>of()));
  }

  /**
   * Passes a request on and has its sender get the other controller's answer.
   *
   * @param message the request as the other controller reads it
   * @param reply where the answer goes
   * @param isPassedOn whether an answer of a status goes to the sender as it is
   * @param otherwise takes the status of any other answer; 0 if there was none in time
   */
  public void forward(
      ControllerName to,
      String path,
      JsonNode message,
      int timeoutMs,
      long reply,
      IntPredicate isPassedOn,
      IntConsumer otherwise) {
    context.callPeer(
        to,
        path,
        message,
        timeoutMs,
        (status, body) -> {
          if (isPassedOn.test(status)) {
            context.reply(reply, status, body);
          } else {
            otherwise.accept(status);
          }
        });
  }
}
