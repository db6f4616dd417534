package shorecrank.coordination.request;

import java.util.Map;
import java.util.Optional;
import shorecrank.config.NodeConfig.Team;
import shorecrank.coordination.model.MachineConstraints;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.JobSpec;

/** Finds submissions that can never be accepted, whatever the state of the fleet. */
final class SubmissionRules {
  /** A user's text is repeated in an answer if it has at most this many characters. */
  private static final int MAX_REPEATED_LENGTH = 200;

  private final StepContext context;
  private Map<String, MachineType> machineTypes = Map.of();

  SubmissionRules(StepContext context) {
    this.context = context;
  }

  /** Updates the machine types that can be rented, by name. */
  void updateCatalog(Map<String, MachineType> types) {
    machineTypes = types;
  }

  /** Reports whether the machine types are known; without them no submission can be checked. */
  boolean isReady() {
    return !machineTypes.isEmpty();
  }

  /** Returns the reason why the job can never run, or empty if it can. */
  Optional<String> findRejectionReason(JobSpec spec) {
    Team team = context.config().teams().get(spec.team());
    if (team == null) {
      boolean isShort = spec.team().length() <= MAX_REPEATED_LENGTH;
      return Optional.of(isShort ? "unknown team " + spec.team() : "unknown team");
    }
    if (!MachineConstraints.isSatisfiable(spec, machineTypes)) {
      return Optional.of("no allowed machine type can hold a task");
    }
    if (exceeds(spec.cpus(), team.cpusMax()) || exceeds(spec.gpus(), team.gpusMax())) {
      return Optional.of("a task needs more than the team's limit");
    }
    return Optional.empty();
  }

  private static boolean exceeds(double needed, double limit) {
    return limit > 0 && needed > limit;
  }
}
