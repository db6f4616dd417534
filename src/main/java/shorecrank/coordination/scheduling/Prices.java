package shorecrank.coordination.scheduling;

import java.util.Map;
import shorecrank.coordination.model.Machine;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.CloudMessages.Offer;

/** Computes prices per processor, by which rented machines and offers are compared. */
final class Prices {
  private Prices() {}

  /** Returns the price per processor of a rented machine, whose type must be known. */
  static double perCpu(Machine machine) {
    return perCpu(machine.type(), machine.info().spot());
  }

  /** Returns the price per processor of an offer, whose type must be in the catalog. */
  static double perCpu(Offer offer, Map<String, MachineType> catalog) {
    return perCpu(catalog.get(offer.type()), offer.spot());
  }

  private static double perCpu(MachineType type, boolean spot) {
    return type.price(spot) / type.cpus();
  }
}
