package shorecrank.coordination.model;

import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.HeartbeatMessages.MachineInfo;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.JobSpec;

/**
 * A machine in the memory of a shard owner: its assignment, its worker's session, its health, and
 * the tasks, images and free capacity on it.
 */
public final class Machine {
  /** Tolerance for the rounding errors of sums of fractional processors. */
  private static final double EPSILON = 1e-9;

  /** A task of which the machine runs an attempt that the job's record does not name. */
  public record UnrecordedTask(Job job, int index) {}

  private final MachineName name;
  private MachineInfo info;
  private MachineType type;
  private final WorkerSession session;
  private final AssignmentStatus assignment = new AssignmentStatus();
  private final MachineHealth health = new MachineHealth();
  private final ImageCache images = new ImageCache();
  private final Set<TaskAttempt> attempts = new ObjectLinkedOpenHashSet<>();
  private final List<UnrecordedTask> unrecordedTasks = new ArrayList<>();
  private boolean preemptionNoticed;
  private boolean releasing;
  private boolean draining;
  private MonotonicTime idleSince = MonotonicTime.NEVER;
  private double usedCpus;
  private double usedGpus;
  private double usedMemoryGb;
  private final TaskListSpace taskList = new TaskListSpace();

  /** The shard's machines with free processors; each machine adds and removes itself. */
  private final Set<Machine> withFreeCpus;

  /**
   * @param session what is known of the machine's worker
   * @param withFreeCpus a set to which the machine adds itself while it has free processors
   */
  public Machine(MachineName name, WorkerSession session, Set<Machine> withFreeCpus) {
    this.name = name;
    this.session = session;
    this.withFreeCpus = withFreeCpus;
  }

  /** Returns the machine's name. */
  public MachineName name() {
    return name;
  }

  /** Returns the machine's type, its zone and whether it is a spot machine; null until known. */
  public MachineInfo info() {
    return info;
  }

  /** Returns the machine's type in the catalog, or null if it is not known. */
  public MachineType type() {
    return type;
  }

  /** Returns what the heartbeats of the machine's worker have shown. */
  public WorkerSession session() {
    return session;
  }

  /** Returns the machine's assignment to this or another shard. */
  public AssignmentStatus assignment() {
    return assignment;
  }

  /** Returns the machine's health: its failures, its quarantine and its pauses. */
  public MachineHealth health() {
    return health;
  }

  /**
   * Returns a live view of the attempts placed on the machine, including those that may still run
   * there; the caller must not change it.
   */
  public Set<TaskAttempt> attempts() {
    return attempts;
  }

  /**
   * Returns a live view of the tasks that run on the machine in attempts that no record names; the
   * caller must not change it.
   */
  public List<UnrecordedTask> unrecordedTasks() {
    return unrecordedTasks;
  }

  /** Sets the machine's type, its zone and whether it is a spot machine; they never change. */
  public void setInfo(MachineInfo info) {
    this.info = info;
  }

  /**
   * Sets the machine's type from the catalog.
   *
   * @param type null if the catalog does not contain the type
   */
  public void setType(MachineType type) {
    if (!Objects.equals(this.type, type)) {
      this.type = type;
      countSmallTasks();
    }
    updateWithFreeCpus();
  }

  private void countSmallTasks() {
    taskList.clearSmallTasks();
    for (TaskAttempt attempt : attempts) {
      if (!attempt.isCapacityReassigned()) {
        taskList.useSmallTasks(attempt.job().spec(), type, 1);
      }
    }
    for (UnrecordedTask task : unrecordedTasks) {
      taskList.useSmallTasks(task.job().spec(), type, 1);
    }
  }

  private void updateWithFreeCpus() {
    if (freeCpus() > EPSILON) {
      withFreeCpus.add(this);
    } else {
      withFreeCpus.remove(this);
    }
  }

  // ---- life cycle ------------------------------------------------------------------------------

  /** Reports whether the cloud has announced that it will take the machine back. */
  public boolean isPreemptionNoticed() {
    return preemptionNoticed;
  }

  /**
   * Sets whether the worker's last heartbeat announces that the cloud will take the machine back.
   */
  public void setPreemptionNoticed(boolean preemptionNoticed) {
    this.preemptionNoticed = preemptionNoticed;
  }

  /** Reports whether this shard owner returns the machine to the cloud; this is never revoked. */
  public boolean isReleasing() {
    return releasing;
  }

  /** Marks the machine to be returned to the cloud once it is empty; this is never revoked. */
  public void release() {
    releasing = true;
  }

  /**
   * Reports whether the shard owner returns the machine to the cloud or the cloud takes it back.
   */
  public boolean isLeaving() {
    return releasing || preemptionNoticed;
  }

  /**
   * Reports whether the machine's own state allows tasks to be placed on it. The caller also has to
   * check that its worker's heartbeats arrive and that it is not draining.
   */
  public boolean acceptsTasks(MonotonicTime now) {
    return assignment.isAssigned()
        && type != null
        && !assignment.isHandoverRequested()
        && !isLeaving()
        && !session.isUnresponsive()
        && health.acceptsTasks(now);
  }

  /**
   * Reports whether the machine is drained because the shard does not need it: no task is placed on
   * it, and it is returned to the cloud once it is empty.
   */
  public boolean isDraining() {
    return draining;
  }

  /** Begins to drain the machine: no further task is placed on it. */
  public void drain() {
    draining = true;
  }

  /** Stops draining the machine, so that tasks may be placed on it again. */
  public void cancelDrain() {
    draining = false;
  }

  /** Returns since when no task has been known to run on the machine. */
  public MonotonicTime idleSince() {
    return idleSince;
  }

  /** Sets since when no task has been known to run on the machine. */
  public void setIdleSince(MonotonicTime time) {
    idleSince = time;
  }

  /** Removes all images that the machine held, because a new incarnation of its worker has none. */
  public void clearImages() {
    images.clear();
  }

  // ---- attempts --------------------------------------------------------------------------------

  /** Adds an attempt that is placed on this machine. */
  void add(TaskAttempt attempt) {
    if (attempts.add(attempt)) {
      images.addTask(attempt.job().spec().image());
      taskList.addAttempt(attempt);
      use(attempt.job().spec(), 1);
    }
  }

  /** Removes an attempt that can no longer run here, or whose placement is revoked. */
  void remove(TaskAttempt attempt) {
    if (!attempts.remove(attempt)) {
      return;
    }
    images.removeTask(attempt.job().spec().image());
    taskList.removeAttempt(attempt);
    if (!attempt.isCapacityReassigned()) {
      use(attempt.job().spec(), -1);
    }
  }

  /**
   * Frees the capacity of an attempt for another one, which is placed now but is only started once
   * this attempt has been stopped.
   */
  public void reassignCapacity(TaskAttempt attempt) {
    if (!attempt.isCapacityReassigned()) {
      attempt.setCapacityReassigned();
      use(attempt.job().spec(), -1);
    }
  }

  /** Records that the machine runs an attempt of a task that the job's record does not name. */
  public void addUnrecordedTask(Job job, int index) {
    unrecordedTasks.add(new UnrecordedTask(job, index));
    job.tasks().markUnrecorded(index);
    use(job.spec(), 1);
  }

  /** Removes all running tasks whose attempts no record names. */
  public void clearUnrecordedTasks() {
    for (UnrecordedTask task : unrecordedTasks) {
      task.job().tasks().unmarkUnrecorded(task.index());
      use(task.job().spec(), -1);
    }
    unrecordedTasks.clear();
  }

  private void use(JobSpec spec, int sign) {
    usedCpus += sign * spec.cpus();
    usedGpus += sign * spec.gpus();
    usedMemoryGb += sign * spec.memoryGb();
    taskList.useSmallTasks(spec, type, sign);
    updateWithFreeCpus();
  }

  /** Reports whether no task of this shard is known to be on the machine. */
  public boolean isEmpty() {
    return attempts.isEmpty() && unrecordedTasks.isEmpty();
  }

  // ---- capacity --------------------------------------------------------------------------------

  /** Returns the processors that the tasks on the machine use. */
  public double usedCpus() {
    return usedCpus;
  }

  /**
   * Returns the processors that the tasks on the machine use, or the same fraction of its
   * processors as small tasks take of their part of the task list, if that is more.
   */
  public double occupiedCpus() {
    double smallTaskCpus = type == null ? 0 : taskList.smallTaskFraction() * type.cpus();
    return Math.max(usedCpus, smallTaskCpus);
  }

  /**
   * Returns the used fraction of the scarcest of processors, accelerators, memory and the part of
   * the task list for small tasks, from 0 to 1.
   */
  public double usedFraction() {
    double fraction = usedCpus / Math.max(EPSILON, type.cpus());
    fraction = Math.max(fraction, taskList.smallTaskFraction());
    fraction = Math.max(fraction, usedMemoryGb / Math.max(EPSILON, type.memoryGb()));
    return type.gpus() > 0 ? Math.max(fraction, usedGpus / type.gpus()) : fraction;
  }

  /** Returns the processors that no task uses; 0 if the machine's type is not known. */
  public double freeCpus() {
    return type == null ? 0 : type.cpus() - usedCpus;
  }

  /** Reports whether the machine has processors that no task uses. */
  public boolean hasFreeCpus() {
    return freeCpus() > EPSILON;
  }

  /** Returns how many more tasks of a job fit on the machine, up to all tasks of the job. */
  public int fittingTasks(JobSpec spec) {
    if (type == null) {
      return 0;
    }
    double tasks = spec.tasks();
    tasks = fit(tasks, spec.cpus(), type.cpus() - usedCpus);
    tasks = fit(tasks, spec.gpus(), type.gpus() - usedGpus);
    tasks = fit(tasks, spec.memoryGb(), type.memoryGb() - usedMemoryGb);
    tasks = Math.min(tasks, taskList.fittingTasks(spec, type));
    return (int) Math.max(0, tasks);
  }

  private static double fit(double tasks, double each, double free) {
    return each <= 0 ? tasks : Math.min(tasks, Math.floor(free / each + EPSILON));
  }

  /**
   * Reports whether a task of the job would fit if the given amounts were freed in addition. The
   * space in the task list is not freed before the worker no longer lists the other tasks.
   */
  public boolean fitsWith(JobSpec spec, double moreCpus, double moreGpus, double moreMemoryGb) {
    return type != null
        && spec.cpus() <= type.cpus() - usedCpus + moreCpus + EPSILON
        && spec.gpus() <= type.gpus() - usedGpus + moreGpus + EPSILON
        && spec.memoryGb() <= type.memoryGb() - usedMemoryGb + moreMemoryGb + EPSILON
        && taskList.fittingTasks(spec, type) > 0;
  }

  /** Returns the space that the machine's tasks take in its worker's heartbeats. */
  public TaskListSpace taskList() {
    return taskList;
  }

  /** Reports whether the job's tasks are small on this machine, see {@link TaskListSpace}. */
  public boolean isSmallTask(JobSpec spec) {
    return TaskListSpace.smallTaskBytes(spec, type) > 0;
  }

  /** Reports whether the job's constraints allow it to run on this machine when it is empty. */
  public boolean isAllowedFor(JobSpec spec) {
    return info != null && type != null && MachineConstraints.allows(spec, offer(), type);
  }

  private Offer offer() {
    return new Offer(info.type(), info.zone(), info.spot());
  }

  // ---- images ----------------------------------------------------------------------------------

  /** Returns the estimated seconds that a complete fetch of the job's image takes. */
  public double fullFetchSeconds(JobSpec spec) {
    return ImageCache.fullFetchSeconds(spec, type);
  }

  /** Returns the estimated seconds until the machine holds the job's image if a task starts now. */
  public double fetchSeconds(JobSpec spec) {
    return images.fetchSeconds(spec, type);
  }

  /** Reports whether the machine holds the job's image or is fetching it. */
  public boolean holdsOrFetchesImage(JobSpec spec) {
    return images.holdsOrFetches(spec.image());
  }

  /** Records that the machine holds the job's image, because a task of the job runs on it. */
  public void addImage(JobSpec spec) {
    images.store(spec, type);
  }
}
