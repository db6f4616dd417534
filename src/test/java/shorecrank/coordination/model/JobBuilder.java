package shorecrank.coordination.model;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import shorecrank.protocol.Ids.AttemptNumber;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.Incarnation;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.JobSpec.Priority;
import shorecrank.storage.JobRecord;
import shorecrank.storage.JobRecord.AttemptRange;

/** Builds jobs for tests, by default with one task that needs one processor and runs for 10 s. */
public final class JobBuilder {
  private final JobId id;
  private String jobClass = "plain";
  private String team = "vision";
  private Priority priority = Priority.NORMAL;
  private int tasks = 1;
  private double cpus = 1;
  private double gpus;
  private double memoryGb = 1;
  private String image = "image";
  private double imageGb;
  private boolean spreadOverZones;
  private double estimateS = 10;
  private double deadlineS;
  private long acceptedAtMs;
  private final List<JobId> dependencies = new ArrayList<>();

  private JobBuilder(JobId id) {
    this.id = id;
  }

  /** Returns a builder for a job whose id contains a number. */
  public static JobBuilder job(int number) {
    return new JobBuilder(id(number));
  }

  /** Returns the id of the job with a number. */
  public static JobId id(int number) {
    return new JobId("wk-" + number);
  }

  /** Sets the job class, which selects the objectives for the job. */
  public JobBuilder ofClass(String name) {
    jobClass = name;
    return this;
  }

  /** Sets the job's team. */
  public JobBuilder ofTeam(String name) {
    team = name;
    return this;
  }

  /** Sets the job's own priority. */
  public JobBuilder priority(Priority value) {
    priority = value;
    return this;
  }

  /** Sets the number of tasks, and the processors and accelerators that each of them needs. */
  public JobBuilder tasks(int count, double cpusEach, double gpusEach) {
    tasks = count;
    cpus = cpusEach;
    gpus = gpusEach;
    return this;
  }

  /** Sets the memory that each task needs, in gigabytes. */
  public JobBuilder memoryGb(double value) {
    memoryGb = value;
    return this;
  }

  /** Sets the name of the job's image. */
  public JobBuilder image(String value) {
    image = value;
    return this;
  }

  /** Sets the size of the job's image in gigabytes. */
  public JobBuilder imageGb(double value) {
    imageGb = value;
    return this;
  }

  /** Allows at most half of the tasks, rounded up, in one zone. */
  public JobBuilder spreadOverZones() {
    spreadOverZones = true;
    return this;
  }

  /** Sets the user's estimate of a task's run time, in seconds. */
  public JobBuilder estimateS(double value) {
    estimateS = value;
    return this;
  }

  /** Sets the job's own deadline, in seconds after it was accepted. */
  public JobBuilder deadlineS(double value) {
    deadlineS = value;
    return this;
  }

  /** Sets when the job was accepted, in milliseconds of the wall clock. */
  public JobBuilder acceptedAtMs(long value) {
    acceptedAtMs = value;
    return this;
  }

  /** Adds jobs, by their numbers, on which the job depends. */
  public JobBuilder dependsOn(int... numbers) {
    for (int number : numbers) {
      dependencies.add(id(number));
    }
    return this;
  }

  /** Returns the specification of the job. */
  public JobSpec spec() {
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
        null,
        null,
        false,
        spreadOverZones,
        true,
        estimateS,
        0,
        0,
        deadlineS,
        List.copyOf(dependencies));
  }

  /** Returns a record of the job that no shard owner has claimed yet. */
  public JobRecord record() {
    return new JobRecord(
        spec(), Epoch.NONE, WriterId.NONE, 0, new BitSet(), List.of(), 0, false, acceptedAtMs, 0);
  }

  /**
   * Returns a record of the job by an earlier owner, which has placed its first tasks on a machine.
   *
   * @param count how many tasks are on the machine
   */
  public JobRecord recordOn(MachineName machine, int count) {
    AttemptRange range =
        new AttemptRange(0, count, machine, new Incarnation(1), new AttemptNumber(1));
    return new JobRecord(
        spec(),
        new Epoch(4),
        WriterId.NONE,
        1,
        new BitSet(),
        List.of(range),
        1,
        false,
        acceptedAtMs,
        0);
  }

  /** Returns the job, with a record that no shard owner has claimed yet. */
  public Job build() {
    return new Job(record(), new Revision(1), 1, new HashSet<>());
  }
}
