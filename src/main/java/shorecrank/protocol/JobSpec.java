package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import shorecrank.protocol.Ids.JobId;

/** What a user asks for. Only this class knows the wire names of its fields. */
public record JobSpec(
    JobId id,
    String jobClass,
    String team,
    Priority priority,
    int tasks,
    double cpus,
    double gpus,
    double memoryGb,
    String image,
    double imageGb,
    List<String> types,
    String zone,
    boolean oneZone,
    boolean spread,
    boolean spot,
    double estimateS,
    double checkpointS,
    double saveS,
    double deadlineS,
    List<JobId> prerequisites) {

  /** From first to last. */
  public enum Priority {
    PROD("prod"),
    URGENT("urgent"),
    NORMAL("normal"),
    LOW("low");

    final String wire;

    Priority(String wire) {
      this.wire = wire;
    }
  }

  /** A submission that is not well formed; the message names the field. */
  public static final class Malformed extends Exception {
    private static final long serialVersionUID = 1L;

    Malformed(String message) {
      super(message);
    }
  }

  /** The field with the jobs that have to be done first. */
  private static final String PREREQUISITES = "prereqs";

  public static final int MAX_PREREQUISITES = 2000;
  public static final int MAX_TASKS = 100_000;
  private static final Pattern ID = Pattern.compile("wk-[0-9]{1,40}");
  private static final double MAX_AMOUNT = 1e12;

  public static boolean idOk(String id) {
    return ID.matcher(id).matches();
  }

  public boolean hasDeadline() {
    return deadlineS > 0;
  }

  /** The same job, but for the jobs that it needs. */
  public JobSpec withoutPrerequisites() {
    if (prerequisites.isEmpty()) {
      return this;
    }
    return new JobSpec(
        id,
        jobClass,
        team,
        priority,
        tasks,
        cpus,
        gpus,
        memoryGb,
        image,
        imageGb,
        types,
        zone,
        oneZone,
        spread,
        spot,
        estimateS,
        checkpointS,
        saveS,
        deadlineS,
        List.of());
  }

  /** How many of the tasks may be in one zone at once. */
  public int zoneCap() {
    return spread ? (tasks + 1) / 2 : tasks;
  }

  public static JobSpec read(JsonNode n) throws Malformed {
    if (!n.isObject()) {
      throw new Malformed("body must be a JSON object");
    }
    String id = string(n, "nameId");
    if (!idOk(id)) {
      throw new Malformed("nameId must look like wk-000412");
    }
    if (!"array".equals(string(n, "shape"))) {
      throw new Malformed("shape must be array");
    }
    String urgency = string(n, "urgency");
    Priority priority = null;
    for (Priority p : Priority.values()) {
      if (p.wire.equals(urgency)) {
        priority = p;
      }
    }
    if (priority == null) {
      throw new Malformed("urgency must be prod, urgent, normal or low");
    }
    JsonNode pieces = n.path("pieces");
    long tasks = pieces.isIntegralNumber() ? Json.count(pieces) : -1;
    if (tasks < 1 || tasks > MAX_TASKS) {
      throw new Malformed("pieces must be a whole number from 1 to " + MAX_TASKS);
    }
    List<String> types = null;
    JsonNode t = n.path("hosttypes");
    if (t.isArray()) {
      types = new ArrayList<>();
      for (JsonNode e : t) {
        if (!e.isTextual() || types.size() >= 1000) {
          throw new Malformed("hosttypes must be a list of names or null");
        }
        types.add(e.textValue());
      }
    } else if (!t.isNull() && !t.isMissingNode()) {
      throw new Malformed("hosttypes must be a list of names or null");
    }
    JsonNode site = n.path("site");
    if (!site.isTextual() && !site.isNull() && !site.isMissingNode()) {
      throw new Malformed("site must be a name or null");
    }
    double due = 0;
    JsonNode d = n.path("dueS");
    if (!d.isNull() && !d.isMissingNode()) {
      due = amount(n, "dueS");
    }
    return new JobSpec(
        new JobId(id),
        string(n, "jobclass"),
        string(n, "owner"),
        priority,
        (int) tasks,
        amount(n, "cpus"),
        amount(n, "accelerators"),
        amount(n, "memoryGb"),
        string(n, "bundle"),
        amount(n, "pullGb"),
        types == null ? null : List.copyOf(types),
        site.isTextual() ? site.textValue() : null,
        flag(n, "together"),
        flag(n, "spread"),
        flag(n, "loaner"),
        amount(n, "guessS"),
        amount(n, "snapshotEveryS"),
        amount(n, "snapshotS"),
        due,
        prerequisites(n.path(PREREQUISITES)));
  }

  private static List<JobId> prerequisites(JsonNode n) throws Malformed {
    if (n.isNull() || n.isMissingNode()) {
      return List.of();
    }
    Set<JobId> ids = new LinkedHashSet<>();
    for (JsonNode id : n) {
      if (!id.isTextual() || !idOk(id.textValue()) || ids.size() >= MAX_PREREQUISITES) {
        throw malformedPrerequisites();
      }
      ids.add(new JobId(id.textValue()));
    }
    if (!n.isArray()) {
      throw malformedPrerequisites();
    }
    return List.copyOf(ids);
  }

  private static Malformed malformedPrerequisites() {
    return new Malformed(
        PREREQUISITES + " must be a list of at most " + MAX_PREREQUISITES + " job ids");
  }

  public ObjectNode write() {
    ObjectNode n = Json.object();
    n.put("nameId", id.value()).put("jobclass", jobClass).put("owner", team);
    n.put("shape", "array").put("urgency", priority.wire).put("pieces", tasks);
    n.put("cpus", cpus).put("accelerators", gpus).put("memoryGb", memoryGb);
    n.put("bundle", image).put("pullGb", imageGb);
    if (types != null) {
      ArrayNode a = n.putArray("hosttypes");
      types.forEach(a::add);
    }
    if (zone != null) {
      n.put("site", zone);
    }
    n.put("together", oneZone).put("spread", spread).put("loaner", spot);
    n.put("guessS", estimateS).put("snapshotEveryS", checkpointS).put("snapshotS", saveS);
    if (deadlineS > 0) {
      n.put("dueS", deadlineS);
    }
    if (!prerequisites.isEmpty()) {
      ArrayNode a = n.putArray(PREREQUISITES);
      prerequisites.forEach(id -> a.add(id.value()));
    }
    return n;
  }

  private static String string(JsonNode n, String f) throws Malformed {
    JsonNode v = n.path(f);
    if (!v.isTextual() || v.textValue().isEmpty() || v.textValue().length() > 512) {
      throw new Malformed(f + " must be a text");
    }
    return v.textValue();
  }

  private static boolean flag(JsonNode n, String f) throws Malformed {
    JsonNode v = n.path(f);
    if (!v.isBoolean()) {
      throw new Malformed(f + " must be true or false");
    }
    return v.booleanValue();
  }

  private static double amount(JsonNode n, String f) throws Malformed {
    JsonNode v = n.path(f);
    double x = v.isNumber() ? v.doubleValue() : Double.NaN;
    if (!(x >= 0 && x <= MAX_AMOUNT)) {
      throw new Malformed(f + " must be a number from 0 up");
    }
    return x;
  }
}
