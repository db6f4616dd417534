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

/** Encodes the answers to workers' heartbeats, and direct commands to workers, as JSON. */
public final class WorkerCommandCodec {
  private static final String TOKEN = "epoch";
  private static final String INCARNATION = "tenure";
  private static final String COMMANDS = "orders";
  private static final String VERB = "verb";
  private static final String TASK = "piece";
  private static final String ATTEMPT = "try";
  private static final String GRACE_S = "windDownS";
  private static final String OWNER = "steward";

  /** Size of a command in a message without its values; the longest verb has five letters. */
  private static final int COMMAND_BYTES =
      "{\"verb\":\"start\",\"piece\":\"/\",\"try\":},".length();

  /** Size of the field of a stop for its grace period, without the value. */
  private static final int GRACE_BYTES = ",\"windDownS\":".length();

  /** Space for the fields of a message beside its commands. */
  private static final int OTHER_FIELDS_BYTES = 256;

  /** Largest size, in bytes, of the commands in an answer to a heartbeat or in a direct command. */
  public static final int MAX_COMMANDS_BYTES =
      WorkerMessages.MAX_MESSAGE_BYTES - OTHER_FIELDS_BYTES;

  private WorkerCommandCodec() {}

  /** Returns the largest size, in bytes, that a command takes in a message. */
  public static int maxBytes(WorkerCommand command) {
    TaskAttemptId attemptId = command.attemptId();
    int bytes =
        COMMAND_BYTES
            + attemptId.job().value().length()
            + Integer.toString(attemptId.index()).length()
            + Long.toString(attemptId.attempt().value()).length();
    if (command instanceof Stop stop) {
      bytes += GRACE_BYTES + Double.toString(stop.graceS()).length();
    }
    return bytes;
  }

  /**
   * Writes the answer to a heartbeat, which renews the worker's lease and holds commands in the
   * order in which the worker is to carry them out.
   */
  public static ObjectNode writeAnswer(FencingToken token, List<WorkerCommand> commands) {
    return putCommands(Json.object().put(TOKEN, token.value()), commands);
  }

  /**
   * Writes direct commands. The worker accepts them only in this incarnation and if the token is
   * not below the highest that it has seen.
   */
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
   * Writes the answer to a heartbeat that has to go to another controller.
   *
   * @param owner the owner of the worker's shard; null if unknown
   */
  public static ObjectNode writeRedirect(ControllerName owner) {
    ObjectNode message = Json.object();
    return owner == null ? message : message.put(OWNER, owner.value());
  }
}
