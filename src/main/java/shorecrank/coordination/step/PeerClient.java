package shorecrank.coordination.step;

import static shorecrank.protocol.HttpStatus.OK;
import static shorecrank.protocol.HttpStatus.UNAVAILABLE;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collection;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.function.IntPredicate;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.PeerMessages;
import shorecrank.protocol.PeerMessages.Heartbeat;
import shorecrank.protocol.PeerMessages.HeartbeatAnswer;
import shorecrank.protocol.PeerRequests;
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
    context.peer(
        to,
        PeerMessages.HEARTBEAT,
        PeerMessages.write(heartbeat),
        timeoutMs,
        (status, body) -> then.accept(heartbeatResult(status, body)));
  }

  private static HeartbeatResult heartbeatResult(int status, JsonNode body) {
    return switch (status) {
      case OK -> {
        HeartbeatAnswer answer = PeerMessages.readAnswer(body);
        yield answer == null
            ? new HeartbeatResult.Malformed()
            : new HeartbeatResult.Answered(answer);
      }
      case UNAVAILABLE -> new HeartbeatResult.Refused(PeerRequests.reachesStore(body));
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
    context.peer(
        owner,
        PeerMessages.ASK,
        PeerMessages.ask(shard, jobs),
        timeoutMs,
        (status, body) ->
            then.accept(status == OK ? PeerMessages.told(body) : Map.<JobId, JobStatus>of()));
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
    context.peer(
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
