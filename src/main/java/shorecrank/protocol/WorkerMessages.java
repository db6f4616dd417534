package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import shorecrank.protocol.Ids.AttemptNumber;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Ids.FencingToken;
import shorecrank.protocol.Ids.Incarnation;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.TaskAttemptId;

/** What workers report and what they are told. */
public final class WorkerMessages {
  private WorkerMessages() {}

  /** Where a worker takes commands outside the answers to its reports. */
  public static final String ORDERS = "/orders";

  /** Host names are not looked up. */
  private static final Pattern ADDRESS =
      Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[1-9][0-9]{0,4}");

  public enum TaskState {
    PULLING,
    RUNNING,
    FLUSHING,
    EXITED
  }

  /** Why a task exited. */
  public enum ExitReason {
    DONE,
    HALTED,
    ERROR,
    FULL,
    BUSY,
    UNKNOWN
  }

  public record TaskStatus(TaskAttemptId run, TaskState state, ExitReason why) {}

  public record WorkerHeartbeat(
      MachineName host,
      String type,
      String zone,
      boolean spot,
      Incarnation incarnation,
      long sequence,
      FencingToken token,
      String address,
      double noticeS,
      List<TaskStatus> tasks) {
    public boolean preemptionNoticed() {
      return noticeS >= 0;
    }
  }

  public sealed interface WorkerCommand {
    TaskAttemptId run();
  }

  public record Start(TaskAttemptId run) implements WorkerCommand {}

  public record Stop(TaskAttemptId run, double graceS) implements WorkerCommand {}

  public record Reap(TaskAttemptId run) implements WorkerCommand {}

  /** Null if the report is malformed. */
  public static WorkerHeartbeat read(JsonNode n) {
    String host = Json.text(n.path("host"));
    long incarnation = Json.count(n.path("tenure"));
    long sequence = Json.count(n.path("serial"));
    long token = Json.count(n.path("epoch"));
    JsonNode pieces = n.path("pieces");
    if (host.isEmpty()
        || host.length() > 150
        || host.indexOf(' ') >= 0
        || host.indexOf('/') >= 0
        || incarnation < 0
        || sequence < 0
        || token < 0
        || !(pieces.isArray() || pieces.isMissingNode() || pieces.isNull())) {
      return null;
    }
    List<TaskStatus> tasks = new ArrayList<>(pieces.size());
    for (JsonNode p : pieces) {
      TaskStatus t = task(p);
      if (t == null) {
        return null;
      }
      tasks.add(t);
    }
    JsonNode notice = n.path("reclaimInS");
    return new WorkerHeartbeat(
        new MachineName(host),
        Json.text(n.path("hosttype")),
        Json.text(n.path("site")),
        n.path("loaner").asBoolean(false),
        new Incarnation(incarnation),
        sequence,
        new FencingToken(token),
        address(Json.text(n.path("addr"))),
        notice.isNumber() ? Math.max(0, notice.doubleValue()) : -1,
        tasks);
  }

  /** Empty if it is no address: commands then go in answers only. */
  private static String address(String s) {
    if (!ADDRESS.matcher(s).matches()) {
      return "";
    }
    int colon = s.indexOf(':');
    boolean ok = Integer.parseInt(s.substring(colon + 1)) < 65_536;
    for (String part : s.substring(0, colon).split("\\.")) {
      ok &= Integer.parseInt(part) < 256;
    }
    return ok ? s : "";
  }

  private static TaskStatus task(JsonNode p) {
    String piece = Json.text(p.path("piece"));
    int slash = piece.lastIndexOf('/');
    long attempt = Json.count(p.path("try"));
    if (slash <= 0 || attempt < 0) {
      return null;
    }
    int index;
    try {
      index = Integer.parseInt(piece.substring(slash + 1));
    } catch (NumberFormatException e) {
      return null;
    }
    TaskState state =
        switch (Json.text(p.path("phase"))) {
          case "pulling" -> TaskState.PULLING;
          case "running" -> TaskState.RUNNING;
          case "flushing" -> TaskState.FLUSHING;
          case "exited" -> TaskState.EXITED;
          default -> null;
        };
    if (state == null || index < 0) {
      return null;
    }
    ExitReason why = null;
    if (state == TaskState.EXITED) {
      why =
          switch (Json.text(p.path("cause"))) {
            case "done" -> ExitReason.DONE;
            case "halted" -> ExitReason.HALTED;
            case "full" -> ExitReason.FULL;
            case "busy" -> ExitReason.BUSY;
            case "unknown" -> ExitReason.UNKNOWN;
            default -> ExitReason.ERROR;
          };
    }
    return new TaskStatus(
        new TaskAttemptId(new JobId(piece.substring(0, slash)), index, new AttemptNumber(attempt)),
        state,
        why);
  }

  public static ObjectNode answer(FencingToken token, List<WorkerCommand> orders) {
    return write(Json.object().put("epoch", token.value()), orders);
  }

  /** What goes straight to a worker, which takes it only in this session and under this token. */
  public static ObjectNode direct(
      FencingToken token, Incarnation incarnation, List<WorkerCommand> orders) {
    return write(
        Json.object().put("epoch", token.value()).put("tenure", incarnation.value()), orders);
  }

  private static ObjectNode write(ObjectNode n, List<WorkerCommand> orders) {
    ArrayNode a = n.putArray("orders");
    for (WorkerCommand o : orders) {
      ObjectNode e = a.addObject();
      String verb;
      if (o instanceof Start) {
        verb = "start";
      } else if (o instanceof Stop) {
        verb = "stop";
      } else {
        verb = "reap";
      }
      e.put("verb", verb)
          .put("piece", o.run().job().value() + "/" + o.run().index())
          .put("try", o.run().attempt().value());
      if (o instanceof Stop s) {
        e.put("windDownS", s.graceS());
      }
    }
    return n;
  }

  /** Sends a worker elsewhere; null if it is not known where. */
  public static ObjectNode elsewhere(ControllerName steward) {
    ObjectNode n = Json.object();
    if (steward != null) {
      n.put("steward", steward.value());
    }
    return n;
  }
}
