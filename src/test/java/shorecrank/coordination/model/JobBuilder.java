package shorecrank.coordination.model;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.JobSpec.Priority;
import shorecrank.storage.JobRecord;

/** Puts together jobs for tests: by default one task of one processor that runs for 10 s. */
public final class JobBuilder {
  private final JobId id;
  private String jobClass = "plain";
  private String team = "vision";
  private Priority priority = Priority.NORMAL;
  private int tasks = 1;
  private double cpus = 1;
  private double gpus;
  private double imageGb;
  private double estimateS = 10;
  private double deadlineS;
  private long acceptedAtMs;
  private final List<JobId> dependencies = new ArrayList<>();

  private JobBuilder(JobId id) {
    this.id = id;
  }

  /** A job named by a number. */
  public static JobBuilder job(int number) {
    return new JobBuilder(id(number));
  }

  /** The id of the job with a number. */
  public static JobId id(int number) {
    return new JobId("wk-" + number);
  }

  /** Sets its class, by which objectives are found. */
  public JobBuilder ofClass(String name) {
    jobClass = name;
    return this;
  }

  /** Sets its team. */
  public JobBuilder ofTeam(String name) {
    team = name;
    return this;
  }

  /** Sets its own priority. */
  public JobBuilder priority(Priority value) {
    priority = value;
    return this;
  }

  /** Sets how many tasks it has, and the processors and accelerators of each. */
  public JobBuilder tasks(int count, double cpusEach, double gpusEach) {
    tasks = count;
    cpus = cpusEach;
    gpus = gpusEach;
    return this;
  }

  /** Sets the size of its image. */
  public JobBuilder imageGb(double value) {
    imageGb = value;
    return this;
  }

  /** Sets how long a task runs by its owner's estimate. */
  public JobBuilder estimateS(double value) {
    estimateS = value;
    return this;
  }

  /** Sets its own deadline, from its acceptance on. */
  public JobBuilder deadlineS(double value) {
    deadlineS = value;
    return this;
  }

  /** Sets when it was accepted, on the wall clock. */
  public JobBuilder acceptedAtMs(long value) {
    acceptedAtMs = value;
    return this;
  }

  /** Adds jobs that have to be done first. */
  public JobBuilder dependsOn(int... numbers) {
    for (int number : numbers) {
      dependencies.add(id(number));
    }
    return this;
  }

  /** What its user asks for. */
  public JobSpec spec() {
    return new JobSpec(
        id,
        jobClass,
        team,
        priority,
        tasks,
        cpus,
        gpus,
        1,
        "image",
        imageGb,
        null,
        null,
        false,
        false,
        true,
        estimateS,
        0,
        0,
        deadlineS,
        List.copyOf(dependencies));
  }

  /** The record of the job, accepted and not yet claimed. */
  public JobRecord record() {
    return new JobRecord(
        spec(), Epoch.NONE, WriterId.NONE, 0, new BitSet(), List.of(), 0, false, acceptedAtMs, 0);
  }

  /** The job, accepted and not yet claimed. */
  public Job build() {
    return new Job(record(), new Revision(1), 1, new HashSet<>());
  }
}
