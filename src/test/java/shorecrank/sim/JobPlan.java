package shorecrank.sim;

import java.util.List;

/** A job as its user describes it, and how its tasks behave on simulated machines. */
final class JobPlan {
  private final String team;
  private final String jobClass;
  private final String image;
  private final String zone;
  private final String machineType;
  private final String priority;
  private final int tasks;
  private final double cpus;
  private final double memoryGb;
  private final double runS;
  private final double fetchS;
  private final double checkpointS;
  private final double dueS;
  private final boolean checkpoints;
  private final boolean spot;
  private final boolean together;
  private final boolean spread;
  private final boolean faulty;
  private final List<String> dependencies;

  private JobPlan(Builder from) {
    this.team = from.team;
    this.jobClass = from.jobClass;
    this.image = from.image;
    this.zone = from.zone;
    this.machineType = from.machineType;
    this.priority = from.priority;
    this.tasks = from.tasks;
    this.cpus = from.cpus;
    this.memoryGb = from.memoryGb;
    this.runS = from.runS;
    this.fetchS = from.fetchS;
    this.checkpointS = from.checkpointS;
    this.dueS = from.dueS;
    this.checkpoints = from.checkpoints;
    this.spot = from.spot;
    this.together = from.together;
    this.spread = from.spread;
    this.faulty = from.faulty;
    this.dependencies = from.dependencies;
  }

  /** Returns a builder for a plan of one short task. */
  static Builder builder() {
    return new Builder();
  }

  /** Returns the team whose quota the job counts against. */
  String team() {
    return team;
  }

  /** Returns the job class, which selects the service-level objective. */
  String jobClass() {
    return jobClass;
  }

  /** Returns the image that a machine fetches before it runs a task. */
  String image() {
    return image;
  }

  /** Returns the only zone that the tasks may run in; null for any. */
  String zone() {
    return zone;
  }

  /** Returns the only machine type that the tasks may run on; null for any. */
  String machineType() {
    return machineType;
  }

  /** Returns the priority as on the wire: prod, urgent, normal or low. */
  String priority() {
    return priority;
  }

  /** Returns the number of tasks. */
  int tasks() {
    return tasks;
  }

  /** Returns the processors that each task needs. */
  double cpus() {
    return cpus;
  }

  /** Returns the memory that each task needs, in gigabytes. */
  double memoryGb() {
    return memoryGb;
  }

  /** Returns how long a task runs, in seconds. */
  double runS() {
    return runS;
  }

  /** Returns how long a machine fetches the image, in seconds. */
  double fetchS() {
    return fetchS;
  }

  /** Returns how long a task takes to save a checkpoint, in seconds. */
  double checkpointS() {
    return checkpointS;
  }

  /** Returns the deadline in seconds from submission; 0 for none. */
  double dueS() {
    return dueS;
  }

  /** Reports whether a task that is stopped saves a checkpoint first. */
  boolean checkpoints() {
    return checkpoints;
  }

  /** Reports whether the tasks may run on spot machines. */
  boolean spot() {
    return spot;
  }

  /** Reports whether all tasks must run in one zone. */
  boolean together() {
    return together;
  }

  /** Reports whether at most half of the tasks, rounded up, may run in one zone. */
  boolean spread() {
    return spread;
  }

  /** Reports whether the tasks fail on every machine. */
  boolean faulty() {
    return faulty;
  }

  /** Returns the ids of the jobs that must be done before this one starts. */
  List<String> dependencies() {
    return dependencies;
  }

  /** Builds a plan; fields that are not set keep a default value. */
  static final class Builder {
    private String team = "t";
    private String jobClass = "c";
    private String image = "i";
    private String zone;
    private String machineType;
    private String priority = "normal";
    private int tasks = 1;
    private double cpus = 1;
    private double memoryGb = 1;
    private double runS = 5;
    private double fetchS = 1;
    private double checkpointS;
    private double dueS;
    private boolean checkpoints;
    private boolean spot = true;
    private boolean together;
    private boolean spread;
    private boolean faulty;
    private List<String> dependencies = List.of();

    /** See {@link JobPlan#team()}. */
    Builder team(String value) {
      this.team = value;
      return this;
    }

    /** See {@link JobPlan#jobClass()}. */
    Builder jobClass(String value) {
      this.jobClass = value;
      return this;
    }

    /** See {@link JobPlan#image()}. */
    Builder image(String value) {
      this.image = value;
      return this;
    }

    /** See {@link JobPlan#zone()}. */
    Builder zone(String value) {
      this.zone = value;
      return this;
    }

    /** See {@link JobPlan#machineType()}. */
    Builder machineType(String value) {
      this.machineType = value;
      return this;
    }

    /** See {@link JobPlan#priority()}. */
    Builder priority(String value) {
      this.priority = value;
      return this;
    }

    /** See {@link JobPlan#tasks()}. */
    Builder tasks(int value) {
      this.tasks = value;
      return this;
    }

    /** See {@link JobPlan#cpus()}. */
    Builder cpus(double value) {
      this.cpus = value;
      return this;
    }

    /** See {@link JobPlan#memoryGb()}. */
    Builder memoryGb(double value) {
      this.memoryGb = value;
      return this;
    }

    /** See {@link JobPlan#runS()}. */
    Builder runS(double value) {
      this.runS = value;
      return this;
    }

    /** See {@link JobPlan#fetchS()}. */
    Builder fetchS(double value) {
      this.fetchS = value;
      return this;
    }

    /** See {@link JobPlan#checkpointS()}. */
    Builder checkpointS(double value) {
      this.checkpointS = value;
      return this;
    }

    /** See {@link JobPlan#dueS()}. */
    Builder dueS(double value) {
      this.dueS = value;
      return this;
    }

    /** See {@link JobPlan#checkpoints()}. */
    Builder checkpoints(boolean value) {
      this.checkpoints = value;
      return this;
    }

    /** See {@link JobPlan#spot()}. */
    Builder spot(boolean value) {
      this.spot = value;
      return this;
    }

    /** See {@link JobPlan#together()}. */
    Builder together(boolean value) {
      this.together = value;
      return this;
    }

    /** See {@link JobPlan#spread()}. */
    Builder spread(boolean value) {
      this.spread = value;
      return this;
    }

    /** See {@link JobPlan#faulty()}. */
    Builder faulty(boolean value) {
      this.faulty = value;
      return this;
    }

    /** See {@link JobPlan#dependencies()}. */
    Builder dependencies(List<String> value) {
      this.dependencies = value;
      return this;
    }

    /** Returns the plan with the values set so far. */
    JobPlan build() {
      return new JobPlan(this);
    }
  }
}
