package shorecrank.protocol;

import java.util.List;
import java.util.regex.Pattern;
import shorecrank.protocol.Ids.JobId;

/**
 * A user's job: an array of equal tasks and what each of them needs.
 *
 * @param jobClass the class whose objectives apply to the job
 * @param team the team whose quota and guarantee apply
 * @param tasks the number of tasks
 * @param cpus processors of one task
 * @param gpus accelerators of one task
 * @param memoryGb memory of one task in GB
 * @param image the image that a machine needs before it can start a task
 * @param imageGb the image's size in GB
 * @param machineTypes the allowed machine types; null for any
 * @param zone the only allowed zone; null for any
 * @param singleZone whether all tasks must be in the same zone
 * @param spreadOverZones whether at most half of the tasks, rounded up, may be in one zone
 * @param allowsSpot whether spot machines may be used
 * @param estimateS the user's estimate of one task's run time, in seconds
 * @param checkpointIntervalS seconds between checkpoints; 0 if there are none
 * @param checkpointDurationS seconds that a checkpoint takes
 * @param deadlineS seconds from the submission until the job is due; 0 for no deadline
 * @param dependencies the jobs that have to be done before this one, without duplicates
 */
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
    List<String> machineTypes,
    String zone,
    boolean singleZone,
    boolean spreadOverZones,
    boolean allowsSpot,
    double estimateS,
    double checkpointIntervalS,
    double checkpointDurationS,
    double deadlineS,
    List<JobId> dependencies) {
  /** Maximum number of tasks of a job. */
  public static final int MAX_TASKS = 100_000;

  private static final Pattern ID = Pattern.compile("wk-[0-9]{1,40}");

  /** A job's priority, from the highest to the lowest. */
  public enum Priority {
    /** Production work: scheduled before all other work. */
    PROD,
    /** Urgent work: scheduled before ordinary work. */
    URGENT,
    /** Ordinary work. */
    NORMAL,
    /** Work that may be preempted by work of all other priorities. */
    LOW
  }

  /** Reports whether a text has the form of a job's id. */
  public static boolean isValidId(String id) {
    return ID.matcher(id).matches();
  }

  /** Reports whether the job has a deadline. */
  public boolean hasDeadline() {
    return deadlineS > 0;
  }

  /** Returns the same job without its dependencies. */
  public JobSpec withoutDependencies() {
    if (dependencies.isEmpty()) {
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
        machineTypes,
        zone,
        singleZone,
        spreadOverZones,
        allowsSpot,
        estimateS,
        checkpointIntervalS,
        checkpointDurationS,
        deadlineS,
        List.of());
  }

  /** Returns how many of the tasks may be in one zone at the same time. */
  public int maxTasksPerZone() {
    return spreadOverZones ? (tasks + 1) / 2 : tasks;
  }
}
