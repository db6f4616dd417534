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

/**
 * The state that decides when and how urgently a job's tasks are placed: its unmet dependencies,
 * its effective priority and slack, and the pauses after failures.
 */
public final class JobSchedulingState {
  /** A job that fails on more machines than this is taken to be at fault itself. */
  private static final int MAX_FAULTY_MACHINES = 2;

  /** Limits the exponential backoff to 64 times {@link #BACKOFF_MS}. */
  private static final int MAX_BACKOFF_EXPONENT = 6;

  /** Half of the pause after the first failure for which the job is taken to be at fault. */
  private static final long BACKOFF_MS = 1000;

  /** Pause of the job after a failure for which the machine is taken to be at fault. */
  private static final long RETRY_MS = 300;

  private final Set<JobId> unmetDependencies = new LinkedHashSet<>();
  private final Set<JobId> unmetView = Collections.unmodifiableSet(unmetDependencies);
  private long readyAtMs;
  private Priority priority;
  private MonotonicTime pausedUntil = MonotonicTime.NEVER;
  private double slackS;
  private boolean withinGuarantee;
  private final Set<MachineName> failedOn = new ObjectOpenHashSet<>();

  /**
   * The number of failures since the job's last success for which the job is taken to be at fault,
   * at most {@link #MAX_BACKOFF_EXPONENT}. Each of them doubles the pause.
   */
  private int backoffExponent;

  JobSchedulingState(JobSpec spec, long readyAtMs) {
    this.readyAtMs = readyAtMs;
    this.priority = spec.priority();
    this.unmetDependencies.addAll(spec.dependencies());
  }

  // ---- dependencies ----------------------------------------------------------------------------

  /**
   * Returns a live view of the jobs on which this job depends, without those whose records are
   * known to say that they are done.
   */
  public Set<JobId> unmetDependencies() {
    return unmetView;
  }

  /** Reports whether all dependencies of the job are met. */
  public boolean isReady() {
    return unmetDependencies.isEmpty();
  }

  /**
   * Returns when the job's dependencies were met, in milliseconds of the wall clock. For a job
   * without dependencies, this is when it was accepted.
   */
  public long readyAtMs() {
    return readyAtMs;
  }

  /**
   * Records that a job on which this one depends is recorded as done.
   *
   * @return whether all dependencies are met now
   */
  public boolean recordDependencyMet(JobId dependency, long wallMs) {
    unmetDependencies.remove(dependency);
    if (unmetDependencies.isEmpty()) {
      readyAtMs = wallMs;
      return true;
    }
    return false;
  }

  /** Marks all dependencies as met, because a task of the job was placed before. */
  void markAllDependenciesMet() {
    unmetDependencies.clear();
  }

  // ---- order -----------------------------------------------------------------------------------

  /** Returns the highest of the job's own priority and the priorities of jobs that depend on it. */
  public Priority priority() {
    return priority;
  }

  /** Sets the priority that takes the jobs that depend on this one into account. */
  public void setPriority(Priority priority) {
    this.priority = priority;
  }

  /**
   * Returns the seconds within which the job's tasks must be placed for it to reach an objective,
   * as of the last sorting of the queue.
   */
  public double slackS() {
    return slackS;
  }

  /**
   * Sets the seconds within which the job's tasks must be placed for it to reach an objective.
   *
   * @param slackS {@link Double#MAX_VALUE} if the job has no objective or can't reach one any more
   */
  public void setSlackS(double slackS) {
    this.slackS = slackS;
  }

  /**
   * Reports whether the job is within its team's guaranteed capacity, so that it does not wait for
   * jobs of other teams.
   */
  public boolean isWithinGuarantee() {
    return withinGuarantee;
  }

  /** Sets whether the job is within its team's guaranteed capacity. */
  public void setWithinGuarantee(boolean withinGuarantee) {
    this.withinGuarantee = withinGuarantee;
  }

  // ---- failures --------------------------------------------------------------------------------

  /** Reports whether the pause after the job's last failure is over. */
  public boolean isPauseOver(MonotonicTime now) {
    return pausedUntil.isBefore(now);
  }

  /** Reports whether the job is taken to be at fault for its failures and is held back for it. */
  public boolean isBackingOff() {
    return backoffExponent > 0;
  }

  /** Reports whether a task of the job has failed since one last succeeded. */
  public boolean hasFailed() {
    return !failedOn.isEmpty();
  }

  /** Reports whether a task has failed on the machine since one of the job last succeeded. */
  public boolean hasFailedOn(MachineName machine) {
    return failedOn.contains(machine);
  }

  /** Returns the number of machines on which tasks of the job have failed since one succeeded. */
  public int failedMachines() {
    return failedOn.size();
  }

  /** Records that a task has succeeded, which shows that the job itself is not at fault. */
  public void recordSuccess() {
    failedOn.clear();
    backoffExponent = 0;
  }

  /**
   * Records that a task has failed on a machine.
   *
   * @param jobAtFault whether the machine is known not to be at fault
   * @return whether the job is taken to be at fault rather than the machine
   */
  public boolean recordFailure(MachineName machine, boolean jobAtFault, MonotonicTime now) {
    failedOn.add(machine);
    if (failedOn.size() > MAX_FAULTY_MACHINES || jobAtFault) {
      backoffExponent = Math.min(backoffExponent + 1, MAX_BACKOFF_EXPONENT);
      pausedUntil = now.plus(BACKOFF_MS << backoffExponent);
      return true;
    }
    pausedUntil = now.plus(RETRY_MS);
    return false;
  }
}
