package shorecrank.coordination.model;

import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.JobSpec.Priority;

/** When and how urgently a job's tasks are placed: dependencies, priority, failures. */
public final class JobSchedulingState {
  /** A job that fails on more machines than this is itself at fault. */
  private static final int MOST_FAULTY_MACHINES = 2;

  /** The pause after failures doubles so many times at the most. */
  private static final int MOST_BACKOFF = 6;

  private static final long BACKOFF_MS = 1000;

  /** Pause after a failure that is taken for the machine's. */
  private static final long RETRY_MS = 300;

  private final Set<JobId> unmetDependencies = new LinkedHashSet<>();
  private final Set<JobId> unmetView = Collections.unmodifiableSet(unmetDependencies);
  private long readyAtMs;
  private Priority priority;
  private MonotonicTime pausedUntil = MonotonicTime.NEVER;
  private double slackS;
  private boolean withinGuarantee;
  private final Set<MachineName> failedOn = new ObjectOpenHashSet<>();
  private int backoff;

  JobSchedulingState(JobSpec spec, long readyAtMs) {
    this.readyAtMs = readyAtMs;
    this.priority = spec.priority();
    this.unmetDependencies.addAll(spec.dependencies());
  }

  // ---- dependencies ----------------------------------------------------------------------------

  /** Jobs that have to be done first, as far as they are not known to be recorded as done. */
  public Set<JobId> unmetDependencies() {
    return unmetView;
  }

  /** Whether it waits for no other job. */
  public boolean isReady() {
    return unmetDependencies.isEmpty();
  }

  /** Since when it waits for no other job, on the wall clock; its acceptance if it names none. */
  public long readyAtMs() {
    return readyAtMs;
  }

  /**
   * A job that it needs is recorded as done.
   *
   * @return whether it waits for no other now
   */
  public boolean dependencyMet(JobId dependency, long wallMs) {
    unmetDependencies.remove(dependency);
    if (unmetDependencies.isEmpty()) {
      readyAtMs = wallMs;
      return true;
    }
    return false;
  }

  /** It was placed once, so all that it needs was recorded as done. */
  void meetAllDependencies() {
    unmetDependencies.clear();
  }

  // ---- order -----------------------------------------------------------------------------------

  /** The most urgent of its own priority and of those of jobs that need it. */
  public Priority priority() {
    return priority;
  }

  /** Its priority, as those that need it make it. */
  public void setPriority(Priority priority) {
    this.priority = priority;
  }

  /** Seconds until it must get room to reach an objective, as of the last ordering of jobs. */
  public double slackS() {
    return slackS;
  }

  /** Seconds until it must get room to reach an objective; the largest value if there is none. */
  public void setSlackS(double slackS) {
    this.slackS = slackS;
  }

  /** Whether it is within its team's guarantee, so that it waits for no other team. */
  public boolean isWithinGuarantee() {
    return withinGuarantee;
  }

  /** Whether it is within its team's guarantee. */
  public void setWithinGuarantee(boolean withinGuarantee) {
    this.withinGuarantee = withinGuarantee;
  }

  // ---- failures --------------------------------------------------------------------------------

  /** Whether its tasks may be placed, as far as earlier failures go. */
  public boolean isPauseOver(MonotonicTime now) {
    return pausedUntil.isBefore(now);
  }

  /** Whether it is held back because it fails wherever it is started. */
  public boolean isBackingOff() {
    return backoff > 0;
  }

  /** Whether a task failed on some machine since the last success. */
  public boolean hasFailed() {
    return !failedOn.isEmpty();
  }

  /** Whether a task failed on that machine since the last success. */
  public boolean hasFailedOn(MachineName machine) {
    return failedOn.contains(machine);
  }

  /** On how many machines tasks failed since the last success. */
  public int failedMachines() {
    return failedOn.size();
  }

  /** A task has succeeded, so the job itself is sound. */
  public void taskSucceeded() {
    failedOn.clear();
    backoff = 0;
  }

  /**
   * A task has failed on a machine.
   *
   * @param jobAtFault whether the failure can't be the machine's
   * @return whether the job is taken to be at fault, not the machine
   */
  public boolean taskFailed(MachineName machine, boolean jobAtFault, MonotonicTime now) {
    failedOn.add(machine);
    if (failedOn.size() > MOST_FAULTY_MACHINES || jobAtFault) {
      backoff = Math.min(backoff + 1, MOST_BACKOFF);
      pausedUntil = now.plus(BACKOFF_MS << backoff);
      return true;
    }
    pausedUntil = now.plus(RETRY_MS);
    return false;
  }
}
