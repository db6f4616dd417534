package shorecrank.coordination.model;

import java.util.Map;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.JobSpec;

/** Which machines a job's tasks may run on, whatever else runs there. */
public final class MachineConstraints {
  private MachineConstraints() {}

  /** Whether type, zone, kind and size of an empty machine are such as the job allows. */
  public static boolean allows(JobSpec spec, Offer offer, MachineType type) {
    return (spec.machineTypes() == null || spec.machineTypes().contains(offer.type()))
        && (spec.zone() == null || spec.zone().equals(offer.zone()))
        && (spec.allowsSpot() || !offer.spot())
        && spec.cpus() <= type.cpus()
        && spec.gpus() <= type.gpus()
        && spec.memoryGb() <= type.memoryGb();
  }

  /** Whether a task fits some machine type that the job allows. */
  public static boolean isSatisfiable(JobSpec spec, Map<String, MachineType> catalog) {
    for (MachineType type : catalog.values()) {
      for (String zone : type.zones()) {
        if (allows(spec, new Offer(type.name(), zone, false), type)) {
          return true;
        }
      }
    }
    return false;
  }
}
