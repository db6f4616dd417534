package shorecrank.coordination.model;

import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.HeartbeatMessages.MachineInfo;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.JobSpec;

/** A machine as the owner of a shard sees it. */
public final class Machine {
  /** Absorbs the rounding errors of sums of fractional processors. */
  private static final double EPSILON = 1e-9;

  /** A task that runs on the machine although no record of its job names the attempt. */
  public record UnrecordedTask(Job job, int index) {}

  private final MachineName name;
  private MachineInfo info;
  private MachineType type;
  private final WorkerSession session = new WorkerSession();
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

  /** The shard's machines with free processors; each keeps its own place there up to date. */
  private final Set<Machine> withRoom;

  public Machine(MachineName name, Set<Machine> withRoom) {
    this.name = name;
    this.withRoom = withRoom;
  }

  /** Its name. */
  public MachineName name() {
    return name;
  }

  /** Its type, zone and kind; null until somebody has said. */
  public MachineInfo info() {
    return info;
  }

  /** Its machine type; null while that is not known. */
  public MachineType type() {
    return type;
  }

  /** What its worker's heartbeats prove. */
  public WorkerSession session() {
    return session;
  }

  /** Which shard it is assigned to. */
  public AssignmentStatus assignment() {
    return assignment;
  }

  /** Whether it runs what is started on it. */
  public MachineHealth health() {
    return health;
  }

  /** The attempts placed on it, until they are surely off; not to be changed by the caller. */
  public Set<TaskAttempt> attempts() {
    return attempts;
  }

  /** The tasks on it whose attempts no record names; not to be changed by the caller. */
  public List<UnrecordedTask> unrecordedTasks() {
    return unrecordedTasks;
  }

  /** What kind of machine it is, which never changes. */
  public void setInfo(MachineInfo info) {
    this.info = info;
  }

  /** Its machine type, as the catalog now gives it; null if the catalog does not name it. */
  public void setType(MachineType type) {
    this.type = type;
    updateWithRoom();
  }

  private void updateWithRoom() {
    if (freeCpus() > EPSILON) {
      withRoom.add(this);
    } else {
      withRoom.remove(this);
    }
  }

  // ---- life cycle ------------------------------------------------------------------------------

  /** Whether the cloud has given notice that it takes the machine back. */
  public boolean isPreemptionNoticed() {
    return preemptionNoticed;
  }

  /** Whether the machine's last heartbeat gives notice that the cloud takes it back. */
  public void setPreemptionNoticed(boolean preemptionNoticed) {
    this.preemptionNoticed = preemptionNoticed;
  }

  /** Whether it is being returned to the cloud, for good. */
  public boolean isReleasing() {
    return releasing;
  }

  /** Returns it to the cloud once it is empty. */
  public void release() {
    releasing = true;
  }

  /** Whether it goes away soon, by the owner's decision or the cloud's. */
  public boolean isLeaving() {
    return releasing || preemptionNoticed;
  }

  /**
   * Whether tasks may be placed on it, as far as is known of the machine itself; whether its worker
   * is heard is not looked at, nor whether it is draining.
   */
  public boolean acceptsTasks(MonotonicTime now) {
    return assignment.isAssigned()
        && type != null
        && !assignment.isHandoverRequested()
        && !isLeaving()
        && !session.isUnresponsive()
        && health.acceptsTasks(now);
  }

  /** Whether it is more than is needed: nothing new is placed, and it is returned once empty. */
  public boolean isDraining() {
    return draining;
  }

  /** Places nothing new on it, so that it runs empty. */
  public void drain() {
    draining = true;
  }

  /** Takes it back into use. */
  public void cancelDrain() {
    draining = false;
  }

  /** Since when nothing is known to run on it. */
  public MonotonicTime idleSince() {
    return idleSince;
  }

  /** Something ran on it at that time. */
  public void setIdleSince(MonotonicTime time) {
    idleSince = time;
  }

  /** Its worker has begun a new incarnation, which holds no image. */
  public void forgetImages() {
    images.clear();
  }

  // ---- attempts --------------------------------------------------------------------------------

  /** An attempt is placed here. */
  void add(TaskAttempt attempt) {
    if (attempts.add(attempt)) {
      images.taskAdded(attempt.job().spec().image());
      use(attempt.job().spec(), 1);
    }
  }

  /** An attempt is surely off the machine, or its placement is taken back. */
  void remove(TaskAttempt attempt) {
    if (!attempts.remove(attempt)) {
      return;
    }
    images.taskRemoved(attempt.job().spec().image());
    if (!attempt.isRoomReassigned()) {
      use(attempt.job().spec(), -1);
    }
  }

  /** The attempt's room is given to another, which starts only after it has been stopped. */
  public void reassignRoom(TaskAttempt attempt) {
    if (!attempt.isRoomReassigned()) {
      attempt.setRoomReassigned();
      use(attempt.job().spec(), -1);
    }
  }

  /** A task of the job runs here although no record names the attempt. */
  public void addUnrecordedTask(Job job, int index) {
    unrecordedTasks.add(new UnrecordedTask(job, index));
    job.tasks().markUnrecorded(index);
    use(job.spec(), 1);
  }

  /** Nothing is known any more of tasks that no record names. */
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
    updateWithRoom();
  }

  /** Whether nothing runs on it, as far as is known. */
  public boolean isEmpty() {
    return attempts.isEmpty() && unrecordedTasks.isEmpty();
  }

  // ---- capacity --------------------------------------------------------------------------------

  /** The processors that its tasks take. */
  public double usedCpus() {
    return usedCpus;
  }

  /** The share of it that is taken, of what there is the least of. */
  public double usedShare() {
    double share = usedCpus / Math.max(EPSILON, type.cpus());
    share = Math.max(share, usedMemoryGb / Math.max(EPSILON, type.memoryGb()));
    return type.gpus() > 0 ? Math.max(share, usedGpus / type.gpus()) : share;
  }

  /** The processors that no task takes; 0 while the type is not known. */
  public double freeCpus() {
    return type == null ? 0 : type.cpus() - usedCpus;
  }

  /** Whether it has processors that no task takes. */
  public boolean hasFreeCpus() {
    return freeCpus() > EPSILON;
  }

  /** How many more tasks of a job fit. */
  public int fittingTasks(JobSpec spec) {
    if (type == null) {
      return 0;
    }
    double tasks = spec.tasks();
    tasks = fit(tasks, spec.cpus(), type.cpus() - usedCpus);
    tasks = fit(tasks, spec.gpus(), type.gpus() - usedGpus);
    tasks = fit(tasks, spec.memoryGb(), type.memoryGb() - usedMemoryGb);
    return (int) Math.max(0, tasks);
  }

  private static double fit(double tasks, double each, double free) {
    return each <= 0 ? tasks : Math.min(tasks, Math.floor(free / each + EPSILON));
  }

  /** Whether a task fits once that much more is free. */
  public boolean fitsWith(JobSpec spec, double moreCpus, double moreGpus, double moreMemoryGb) {
    return type != null
        && spec.cpus() <= type.cpus() - usedCpus + moreCpus + EPSILON
        && spec.gpus() <= type.gpus() - usedGpus + moreGpus + EPSILON
        && spec.memoryGb() <= type.memoryGb() - usedMemoryGb + moreMemoryGb + EPSILON;
  }

  /** Whether type, zone and kind are such as the job allows. */
  public boolean isAllowedFor(JobSpec spec) {
    return info != null && type != null && MachineConstraints.allows(spec, offer(), type);
  }

  private Offer offer() {
    return new Offer(info.type(), info.zone(), info.spot());
  }

  // ---- images ----------------------------------------------------------------------------------

  /** Seconds that a fetch of the job's image to a machine of this type takes. */
  public double fullFetchSeconds(JobSpec spec) {
    return ImageCache.fullFetchSeconds(spec, type);
  }

  /** Seconds until the job's image is there, if a task is started now. */
  public double fetchSeconds(JobSpec spec) {
    return images.fetchSeconds(spec, type);
  }

  /** Whether the job's image is there or on its way. */
  public boolean holdsOrFetchesImage(JobSpec spec) {
    return images.holdsOrFetches(spec.image());
  }

  /** A task of the job runs, so its image is there. */
  public void addImage(JobSpec spec) {
    images.store(spec, type);
  }
}
