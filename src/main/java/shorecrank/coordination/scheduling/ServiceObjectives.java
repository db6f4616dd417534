package shorecrank.coordination.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import shorecrank.config.NodeConfig.Objective;
import shorecrank.protocol.JobSpec;

/** The service-level objectives of the job classes, from the platform's configuration file. */
final class ServiceObjectives {
  private static final String START_KIND = "wait";
  private static final String END_KIND = "finished";
  private static final String DEADLINE_KIND = "deadline";

  /** The target that an objective of a class sets for each of its jobs. */
  sealed interface Target {
    /**
     * The job's tasks start in time.
     *
     * @param withinS seconds from when the job is ready
     */
    record Start(double withinS) implements Target {}

    /**
     * The job ends in time.
     *
     * @param withinS seconds from when the job is ready; 0 for a target relative to the job's own
     *     deadline
     * @param deadlineFactor multiple of the job's own deadline if {@code withinS} is 0
     */
    record End(double withinS, double deadlineFactor) implements Target {
      /**
       * Reports whether the target is a multiple of the job's own deadline, which counts from the
       * job's acceptance.
       */
      boolean isRelativeToDeadline() {
        return withinS <= 0;
      }
    }
  }

  private final Map<String, List<Target>> targetsByClass = new HashMap<>();

  ServiceObjectives(List<Objective> objectives) {
    for (Objective objective : objectives) {
      List<Target> targets =
          targetsByClass.computeIfAbsent(objective.jobClass(), name -> new ArrayList<>());
      switch (objective.kind()) {
        case START_KIND -> targets.add(new Target.Start(objective.withinS()));
        case END_KIND -> targets.add(new Target.End(objective.withinS(), 0));
        case DEADLINE_KIND -> targets.add(new Target.End(0, objective.deadlineFactor()));
        default -> {
          // Objectives of other kinds don't affect the order of jobs.
        }
      }
    }
  }

  /** Returns the targets of a class; empty if it has none. */
  List<Target> targets(String jobClass) {
    return targetsByClass.getOrDefault(jobClass, List.of());
  }

  /** Reports whether the job's class has a target for the start of its tasks. */
  boolean hasStartTarget(JobSpec spec) {
    for (Target target : targets(spec.jobClass())) {
      if (target instanceof Target.Start) {
        return true;
      }
    }
    return false;
  }

  /** Reports whether the job's class has a target or the job has a deadline of its own. */
  boolean hasTargets(JobSpec spec) {
    return !targets(spec.jobClass()).isEmpty() || spec.hasDeadline();
  }

  /**
   * Returns the earliest start target that is not missed yet, in seconds from when the job was
   * ready, or {@link Double#MAX_VALUE} if there is none.
   *
   * @param waitedS seconds since the job was ready
   */
  double nextStartTargetS(JobSpec spec, double waitedS) {
    double next = Double.MAX_VALUE;
    for (Target target : targets(spec.jobClass())) {
      if (target instanceof Target.Start start && start.withinS() > waitedS) {
        next = Math.min(next, start.withinS());
      }
    }
    return next;
  }

  /**
   * Returns the deadlines that result from the job's own deadline; empty if it has none.
   *
   * @param acceptedAtMs when the job was accepted, in milliseconds since 1970
   */
  List<Deadline> deadlines(JobSpec spec, long acceptedAtMs) {
    List<Deadline> deadlines = new ArrayList<>();
    if (spec.hasDeadline()) {
      for (Target target : targets(spec.jobClass())) {
        if (target instanceof Target.End end && end.isRelativeToDeadline()) {
          double seconds = spec.deadlineS() * end.deadlineFactor();
          deadlines.add(new Deadline(acceptedAtMs + seconds * 1000, spec.jobClass()));
        }
      }
    }
    return deadlines;
  }
}
