package shorecrank.coordination.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import shorecrank.config.NodeConfig.Objective;
import shorecrank.protocol.JobSpec;

/** The service-level objectives of the classes of jobs, as the platform's file gives them. */
final class ServiceObjectives {
  private static final String START_KIND = "wait";
  private static final String END_KIND = "finished";
  private static final String DEADLINE_KIND = "deadline";

  /** What an objective of a class asks of each of its jobs. */
  sealed interface Target {
    /** Its tasks start within so many seconds from when it is ready. */
    record Start(double withinS) implements Target {}

    /** It ends within so many seconds from when it is ready; within its deadline if that is 0. */
    record End(double withinS, double deadlineFactor) implements Target {
      /** Whether the time is a multiple of the job's own deadline, from its acceptance. */
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
        case DEADLINE_KIND -> targets.add(new Target.End(0, objective.times()));
        default -> {
          // Objectives of other kinds don't bear on the order of jobs.
        }
      }
    }
  }

  /** The targets of a class; empty if it has none. */
  List<Target> targets(String jobClass) {
    return targetsByClass.getOrDefault(jobClass, List.of());
  }

  /** Whether users of the class wait for the start of its tasks. */
  boolean hasStartTarget(JobSpec spec) {
    for (Target target : targets(spec.jobClass())) {
      if (target instanceof Target.Start) {
        return true;
      }
    }
    return false;
  }

  /** Whether the job has a time to keep, of its class or its own. */
  boolean hasTargets(JobSpec spec) {
    return !targets(spec.jobClass()).isEmpty() || spec.hasDeadline();
  }

  /**
   * The nearest start target, in seconds from when the job was ready, that is not missed yet;
   * {@link Double#MAX_VALUE} if all are or there is none.
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

  /** The deadlines of the job's own, on the wall clock. */
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
