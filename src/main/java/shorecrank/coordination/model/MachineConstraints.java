package shorecrank.coordination.model;

import java.util.Map;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.JobSpec;

/** Decides which machines a job's tasks may run on, regardless of what else runs there. */
public final class MachineConstraints {
  private MachineConstraints() {}

  /**
   * Reports whether a task of a job may run on an otherwise empty machine: the job allows its type
   * and zone, allows spot machines if this is one, and needs no more than the machine has.
   */
  public static boolean allows(JobSpec spec, Offer offer, MachineType type) {
    return (spec.machineTypes() == null || spec.machineTypes().contains(offer.type()))
        && (spec.zone() == null || spec.zone().equals(offer.zone()))
        && (spec.allowsSpot() || !offer.spot())
        && spec.cpus() <= type.cpus()
        && spec.gpus() <= type.gpus()
        && spec.memoryGb() <= type.memoryGb();
  }

  /**
   * Reports whether the catalog has a machine type and a zone in which a task of the job may run.
   */
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
