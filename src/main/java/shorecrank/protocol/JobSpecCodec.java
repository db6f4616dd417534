package shorecrank.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.JobSpec.Priority;

/**
 * Encodes and decodes users' submissions as JSON. Stored job records hold submissions in the same
 * form.
 */
public final class JobSpecCodec {
  private static final String ID = "nameId";
  private static final String JOB_CLASS = "jobclass";
  private static final String TEAM = "owner";
  private static final String SHAPE = "shape";
  private static final String ARRAY_SHAPE = "array";
  private static final String PRIORITY = "urgency";
  private static final String TASKS = "pieces";
  private static final String CPUS = "cpus";
  private static final String GPUS = "accelerators";
  private static final String MEMORY_GB = "memoryGb";
  private static final String IMAGE = "bundle";
  private static final String IMAGE_GB = "pullGb";
  private static final String MACHINE_TYPES = "hosttypes";
  private static final String ZONE = "site";
  private static final String SINGLE_ZONE = "together";
  private static final String SPREAD_OVER_ZONES = "spread";
  private static final String ALLOWS_SPOT = "loaner";
  private static final String ESTIMATE_S = "guessS";
  private static final String CHECKPOINT_INTERVAL_S = "snapshotEveryS";
  private static final String CHECKPOINT_DURATION_S = "snapshotS";
  private static final String DEADLINE_S = "dueS";
  private static final String DEPENDENCIES = "prereqs";

  /** The names of a submission's fields. */
  public static final Set<String> FIELDS =
      Set.of(
          ID,
          JOB_CLASS,
          TEAM,
          SHAPE,
          PRIORITY,
          TASKS,
          CPUS,
          GPUS,
          MEMORY_GB,
          IMAGE,
          IMAGE_GB,
          MACHINE_TYPES,
          ZONE,
          SINGLE_ZONE,
          SPREAD_OVER_ZONES,
          ALLOWS_SPOT,
          ESTIMATE_S,
          CHECKPOINT_INTERVAL_S,
          CHECKPOINT_DURATION_S,
          DEADLINE_S,
          DEPENDENCIES);

  /**
   * Amounts above are read as this one: no machine is as large, and no process lives as long, in
   * seconds. Times in milliseconds that are computed from it fit into a long.
   */
  private static final double MAX_AMOUNT = 1e12;

  private JobSpecCodec() {}

  /** Writes a submission as JSON. */
  public static ObjectNode write(JobSpec spec) {
    ObjectNode message = Json.object().put(ID, spec.id().value());
    message.put(JOB_CLASS, spec.jobClass()).put(TEAM, spec.team()).put(SHAPE, ARRAY_SHAPE);
    message.put(PRIORITY, wireName(spec.priority())).put(TASKS, spec.tasks());
    message.put(CPUS, spec.cpus()).put(GPUS, spec.gpus()).put(MEMORY_GB, spec.memoryGb());
    message.put(IMAGE, spec.image()).put(IMAGE_GB, spec.imageGb());
    if (spec.machineTypes() != null) {
      ArrayNode types = message.putArray(MACHINE_TYPES);
      spec.machineTypes().forEach(types::add);
    }
    if (spec.zone() != null) {
      message.put(ZONE, spec.zone());
    }
    message.put(SINGLE_ZONE, spec.singleZone()).put(SPREAD_OVER_ZONES, spec.spreadOverZones());
    message.put(ALLOWS_SPOT, spec.allowsSpot()).put(ESTIMATE_S, spec.estimateS());
    message.put(CHECKPOINT_INTERVAL_S, spec.checkpointIntervalS());
    message.put(CHECKPOINT_DURATION_S, spec.checkpointDurationS());
    if (spec.hasDeadline()) {
      message.put(DEADLINE_S, spec.deadlineS());
    }
    if (!spec.dependencies().isEmpty()) {
      ArrayNode ids = message.putArray(DEPENDENCIES);
      spec.dependencies().forEach(id -> ids.add(id.value()));
    }
    return message;
  }

  /** Reads the job's id of a message, which may be malformed otherwise; empty if it has none. */
  public static String readIdOrEmpty(JsonNode message) {
    String id = Json.text(message.path(ID));
    return JobSpec.isValidId(id) ? id : "";
  }

  /**
   * Reads a submission.
   *
   * @throws MalformedMessageException if a field is not well formed; the user receives the
   *     exception's text
   */
  public static JobSpec read(JsonNode message) throws MalformedMessageException {
    if (!message.isObject()) {
      throw new MalformedMessageException("body", "must be a JSON object");
    }
    String id = readText(message, ID);
    if (!JobSpec.isValidId(id)) {
      throw new MalformedMessageException(ID, "must look like wk-000412");
    }
    if (!ARRAY_SHAPE.equals(readText(message, SHAPE))) {
      throw new MalformedMessageException(SHAPE, "must be array");
    }
    Priority priority = readPriority(readText(message, PRIORITY));
    int tasks = readTasks(message.path(TASKS));
    List<String> machineTypes = readMachineTypesOrNull(message.path(MACHINE_TYPES));
    String zone = readZoneOrNull(message.path(ZONE));
    double deadlineS = isAbsent(message.path(DEADLINE_S)) ? 0 : readAmount(message, DEADLINE_S);
    return new JobSpec(
        new JobId(id),
        readText(message, JOB_CLASS),
        readText(message, TEAM),
        priority,
        tasks,
        readAmount(message, CPUS),
        readAmount(message, GPUS),
        readAmount(message, MEMORY_GB),
        readText(message, IMAGE),
        readAmount(message, IMAGE_GB),
        machineTypes,
        zone,
        readFlag(message, SINGLE_ZONE),
        readFlag(message, SPREAD_OVER_ZONES),
        readFlag(message, ALLOWS_SPOT),
        readAmount(message, ESTIMATE_S),
        readAmount(message, CHECKPOINT_INTERVAL_S),
        readAmount(message, CHECKPOINT_DURATION_S),
        deadlineS,
        readDependencies(message.path(DEPENDENCIES)));
  }

  private static String wireName(Priority priority) {
    return switch (priority) {
      case PROD -> "prod";
      case URGENT -> "urgent";
      case NORMAL -> "normal";
      case LOW -> "low";
    };
  }

  private static Priority readPriority(String name) throws MalformedMessageException {
    for (Priority priority : Priority.values()) {
      if (wireName(priority).equals(name)) {
        return priority;
      }
    }
    throw new MalformedMessageException(PRIORITY, "must be prod, urgent, normal or low");
  }

  private static int readTasks(JsonNode value) throws MalformedMessageException {
    long tasks = Json.countOrMinusOne(value);
    if (tasks < 1 || tasks > JobSpec.MAX_TASKS) {
      throw new MalformedMessageException(
          TASKS, "must be a whole number from 1 to " + JobSpec.MAX_TASKS);
    }
    return (int) tasks;
  }

  private static List<String> readMachineTypesOrNull(JsonNode value)
      throws MalformedMessageException {
    if (isAbsent(value)) {
      return null;
    }
    List<String> types = new ArrayList<>();
    for (JsonNode type : value) {
      if (!type.isTextual()) {
        throw malformedMachineTypes();
      }
      types.add(type.textValue());
    }
    if (!value.isArray()) {
      throw malformedMachineTypes();
    }
    return List.copyOf(types);
  }

  private static MalformedMessageException malformedMachineTypes() {
    return new MalformedMessageException(MACHINE_TYPES, "must be a list of names or null");
  }

  private static String readZoneOrNull(JsonNode value) throws MalformedMessageException {
    if (isAbsent(value)) {
      return null;
    }
    if (!value.isTextual()) {
      throw new MalformedMessageException(ZONE, "must be a name or null");
    }
    return value.textValue();
  }

  private static List<JobId> readDependencies(JsonNode value) throws MalformedMessageException {
    if (isAbsent(value)) {
      return List.of();
    }
    Set<JobId> ids = new LinkedHashSet<>();
    for (JsonNode id : value) {
      if (!id.isTextual() || !JobSpec.isValidId(id.textValue())) {
        throw malformedDependencies();
      }
      ids.add(new JobId(id.textValue()));
    }
    if (!value.isArray()) {
      throw malformedDependencies();
    }
    return List.copyOf(ids);
  }

  private static MalformedMessageException malformedDependencies() {
    return new MalformedMessageException(DEPENDENCIES, "must be a list of job ids");
  }

  private static boolean isAbsent(JsonNode value) {
    return value.isNull() || value.isMissingNode();
  }

  private static String readText(JsonNode message, String field) throws MalformedMessageException {
    String text = Json.text(message.path(field));
    if (text.isEmpty()) {
      throw new MalformedMessageException(field, "must be a text");
    }
    return text;
  }

  private static boolean readFlag(JsonNode message, String field) throws MalformedMessageException {
    JsonNode value = message.path(field);
    if (!value.isBoolean()) {
      throw new MalformedMessageException(field, "must be true or false");
    }
    return value.booleanValue();
  }

  private static double readAmount(JsonNode message, String field)
      throws MalformedMessageException {
    JsonNode value = message.path(field);
    double amount = value.isNumber() ? value.doubleValue() : Double.NaN;
    if (!(amount >= 0)) {
      throw new MalformedMessageException(field, "must be a number from 0 up");
    }
    return Math.min(amount, MAX_AMOUNT);
  }
}
