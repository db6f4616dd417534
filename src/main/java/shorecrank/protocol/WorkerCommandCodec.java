package shorecrank.protocol;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.FencingToken;
import shorecrank.protocol.Ids.Incarnation;
import shorecrank.protocol.Ids.TaskAttemptId;
import shorecrank.protocol.WorkerMessages.Start;
import shorecrank.protocol.WorkerMessages.Stop;
import shorecrank.protocol.WorkerMessages.WorkerCommand;

/** Answers to workers' heartbeats, and direct commands, as JSON. */
public final class WorkerCommandCodec {
  private static final String TOKEN = "epoch";
  private static final String INCARNATION = "tenure";
  private static final String COMMANDS = "orders";
  private static final String VERB = "verb";
  private static final String TASK = "piece";
  private static final String ATTEMPT = "try";
  private static final String GRACE_S = "windDownS";
  private static final String OWNER = "steward";

  private WorkerCommandCodec() {}

  /** The answer to a heartbeat: it renews the worker's lease and holds commands in order. */
  public static ObjectNode writeAnswer(FencingToken token, List<WorkerCommand> commands) {
    return putCommands(Json.object().put(TOKEN, token.value()), commands);
  }

  /** Direct commands, which the worker takes only in this incarnation and under this token. */
  public static ObjectNode writeDirect(
      FencingToken token, Incarnation incarnation, List<WorkerCommand> commands) {
    ObjectNode message = Json.object().put(TOKEN, token.value());
    return putCommands(message.put(INCARNATION, incarnation.value()), commands);
  }

  private static ObjectNode putCommands(ObjectNode message, List<WorkerCommand> commands) {
    ArrayNode array = message.putArray(COMMANDS);
    for (WorkerCommand command : commands) {
      TaskAttemptId attemptId = command.attemptId();
      ObjectNode object =
          array
              .addObject()
              .put(VERB, verb(command))
              .put(TASK, attemptId.job().value() + "/" + attemptId.index())
              .put(ATTEMPT, attemptId.attempt().value());
      if (command instanceof Stop stop) {
        object.put(GRACE_S, stop.graceS());
      }
    }
    return message;
  }

  private static String verb(WorkerCommand command) {
    if (command instanceof Start) {
      return "start";
    }
    return command instanceof Stop ? "stop" : "reap";
  }

  /**
   * The answer to a heartbeat that belongs to another controller.
   *
   * @param owner the owner of the worker's shard; null if it is not known
   */
  public static ObjectNode writeRedirect(ControllerName owner) {
    ObjectNode message = Json.object();
    return owner == null ? message : message.put(OWNER, owner.value());
  }
}
