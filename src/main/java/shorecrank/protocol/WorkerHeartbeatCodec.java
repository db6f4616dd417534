package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import shorecrank.protocol.Ids.AttemptNumber;
import shorecrank.protocol.Ids.FencingToken;
import shorecrank.protocol.Ids.Incarnation;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.TaskAttemptId;
import shorecrank.protocol.WorkerMessages.ExitReason;
import shorecrank.protocol.WorkerMessages.TaskState;
import shorecrank.protocol.WorkerMessages.TaskStatus;
import shorecrank.protocol.WorkerMessages.WorkerHeartbeat;

/** Decodes workers' heartbeats from JSON. */
public final class WorkerHeartbeatCodec {
  private static final String MACHINE = "host";
  private static final String TYPE = "hosttype";
  private static final String ZONE = "site";
  private static final String SPOT = "loaner";
  private static final String INCARNATION = "tenure";
  private static final String SEQUENCE = "serial";
  private static final String TOKEN = "epoch";
  private static final String ADDRESS = "addr";
  private static final String RECLAIM_IN_S = "reclaimInS";
  private static final String TASKS = "pieces";

  /** The names of a heartbeat's fields. */
  public static final Set<String> FIELDS =
      Set.of(MACHINE, TYPE, ZONE, SPOT, INCARNATION, SEQUENCE, TOKEN, ADDRESS, RECLAIM_IN_S, TASKS);

  private static final String TASK = "piece";
  private static final String ATTEMPT = "try";
  private static final String STATE = "phase";
  private static final String EXIT_REASON = "cause";

  /**
   * Maximum length of a machine's name in characters. Names are parts of keys of the state service,
   * which may have at most 200 bytes.
   */
  private static final int MAX_MACHINE_NAME = 150;

  private static final double NO_RECLAIM_NOTICE = -1;

  /**
   * Largest size, in bytes, of a task in a heartbeat without its job's id. A worker may write a
   * space after each separator.
   */
  private static final int TASK_BYTES =
      "{\"piece\": \"/\", \"try\": , \"phase\": \"exited\", \"cause\": \"unknown\", \"kept\": false}, "
              .length()
          + Integer.toString(JobSpec.MAX_TASKS).length()
          + Long.toString(Long.MAX_VALUE).length();

  /**
   * Form of a worker's address. Host names are not accepted, because controllers do not resolve
   * them.
   */
  private static final Pattern IP_ADDRESS_AND_PORT =
      Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[1-9][0-9]{0,4}");

  private static final int MAX_PORT = 65_535;
  private static final int MAX_BYTE = 255;

  private WorkerHeartbeatCodec() {}

  /** Returns the largest size, in bytes, of a task of the job in a heartbeat, in any state. */
  public static int maxTaskBytes(JobId job) {
    return TASK_BYTES + job.value().length();
  }

  /**
   * Reads a heartbeat.
   *
   * @throws MalformedMessageException if the machine's name, a number or a task is not well formed
   */
  public static WorkerHeartbeat read(JsonNode message) throws MalformedMessageException {
    MachineName machine = readMachine(message.path(MACHINE));
    long incarnation = Fields.readCount(message.path(INCARNATION), INCARNATION);
    long sequence = Fields.readCount(message.path(SEQUENCE), SEQUENCE);
    long token = Fields.readCount(message.path(TOKEN), TOKEN);
    JsonNode statuses = message.path(TASKS);
    if (!(statuses.isArray() || statuses.isMissingNode() || statuses.isNull())) {
      throw new MalformedMessageException(TASKS, "must be a list or null");
    }
    List<TaskStatus> tasks = new ArrayList<>(statuses.size());
    for (JsonNode status : statuses) {
      tasks.add(readTask(status));
    }
    JsonNode reclaimInS = message.path(RECLAIM_IN_S);
    return new WorkerHeartbeat(
        machine,
        Json.text(message.path(TYPE)),
        Json.text(message.path(ZONE)),
        message.path(SPOT).asBoolean(false),
        new Incarnation(incarnation),
        sequence,
        new FencingToken(token),
        readAddressOrEmpty(Json.text(message.path(ADDRESS))),
        reclaimInS.isNumber() ? Math.max(0, reclaimInS.doubleValue()) : NO_RECLAIM_NOTICE,
        tasks);
  }

  private static MachineName readMachine(JsonNode value) throws MalformedMessageException {
    String name = Json.text(value);
    if (name.isEmpty()
        || name.length() > MAX_MACHINE_NAME
        || name.indexOf(' ') >= 0
        || name.indexOf('/') >= 0) {
      throw new MalformedMessageException(
          MACHINE,
          "must be a name of at most " + MAX_MACHINE_NAME + " characters, without ' ' and '/'");
    }
    return new MachineName(name);
  }

  /**
   * Returns the address, or an empty text if it is not an IP address and port. Commands then reach
   * the worker only in answers to its heartbeats.
   */
  private static String readAddressOrEmpty(String text) {
    if (!IP_ADDRESS_AND_PORT.matcher(text).matches()) {
      return "";
    }
    int colon = text.indexOf(':');
    boolean isValid = Integer.parseInt(text.substring(colon + 1)) <= MAX_PORT;
    for (String number : text.substring(0, colon).split("\\.")) {
      isValid &= Integer.parseInt(number) <= MAX_BYTE;
    }
    return isValid ? text : "";
  }

  private static TaskStatus readTask(JsonNode status) throws MalformedMessageException {
    String task = Json.text(status.path(TASK));
    int slash = task.lastIndexOf('/');
    int index = slash <= 0 ? -1 : parseIndexOrNegative(task.substring(slash + 1));
    if (index < 0) {
      throw new MalformedMessageException(TASK, "must be a job's id, '/' and the task's number");
    }
    long attempt = Fields.readCount(status.path(ATTEMPT), ATTEMPT);
    TaskState state = readState(status.path(STATE));
    return new TaskStatus(
        new TaskAttemptId(new JobId(task.substring(0, slash)), index, new AttemptNumber(attempt)),
        state,
        state == TaskState.EXITED ? readExitReason(status.path(EXIT_REASON)) : null);
  }

  private static int parseIndexOrNegative(String text) {
    try {
      return Integer.parseInt(text);
    } catch (NumberFormatException notANumber) {
      return -1;
    }
  }

  private static TaskState readState(JsonNode value) throws MalformedMessageException {
    return switch (Json.text(value)) {
      case "pulling" -> TaskState.WAITING_FOR_IMAGE;
      case "running" -> TaskState.RUNNING;
      case "flushing" -> TaskState.CHECKPOINTING;
      case "exited" -> TaskState.EXITED;
      default -> throw new MalformedMessageException(STATE, "must name a known state");
    };
  }

  /** Reads why an attempt exited; a reason that this version does not know counts as a failure. */
  private static ExitReason readExitReason(JsonNode value) {
    return switch (Json.text(value)) {
      case "done" -> ExitReason.DONE;
      case "halted" -> ExitReason.STOPPED;
      case "full" -> ExitReason.INSUFFICIENT_RESOURCES;
      case "busy" -> ExitReason.BUSY;
      case "unknown" -> ExitReason.UNKNOWN;
      default -> ExitReason.ERROR;
    };
  }
}
