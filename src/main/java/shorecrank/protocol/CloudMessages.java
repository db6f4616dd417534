package shorecrank.protocol;

import java.util.List;
import shorecrank.protocol.Ids.MachineName;

/**
 * Machine types, offers and machines in the messages exchanged with the cloud, and the paths of
 * requests to it.
 */
public final class CloudMessages {
  /** Path of the catalog of machine types. */
  public static final String CATALOG_PATH = "/catalog";

  /** Path of requests that rent machines, and of the list of machines. */
  public static final String RENTAL_PATH = "/hosts";

  /** Path of requests that return machines to the cloud. */
  public static final String RELEASE_PATH = "/hosts/release";

  /** Maximum number of machines that one request rents. */
  public static final int MAX_RENT = 50;

  /** Maximum number of machines that one request returns. */
  public static final int MAX_RELEASE = 100;

  /** Maximum number of machines on one page of the list. */
  public static final int MAX_PAGE = 500;

  private CloudMessages() {}

  /**
   * Returns the path of a page of the list of machines.
   *
   * @param after the last machine's name on the page before; empty for the first page
   */
  public static String listPath(String after) {
    return RENTAL_PATH + "?page=" + MAX_PAGE + (after.isEmpty() ? "" : "&from=" + after);
  }

  /**
   * A type of machine that the cloud offers.
   *
   * @param cpus number of processors
   * @param gpus number of accelerators
   * @param memoryGb memory in GB
   * @param cacheGb size of the image cache in GB
   * @param fetchGbPerS nominal rate at which images are fetched, in GB per second
   * @param price price per hour of a machine that is not a spot machine
   * @param spotPrice current price per hour of a spot machine
   * @param bootS nominal time from the rental to the first heartbeat, in seconds
   * @param zones the zones in which the type is offered
   */
  public record MachineType(
      String name,
      double cpus,
      double gpus,
      double memoryGb,
      double cacheGb,
      double fetchGbPerS,
      double price,
      double spotPrice,
      double bootS,
      List<String> zones) {
    /**
     * Returns the price per hour of a spot machine if {@code spot} is set, else of an ordinary one.
     */
    public double price(boolean spot) {
      return spot ? spotPrice : price;
    }
  }

  /**
   * A machine in the cloud's list, which may be out of date.
   *
   * @param state {@code starting}, {@code running} or {@code failed}
   * @param ageS seconds from the rental request to the point in time that the list describes
   */
  public record ListedMachine(
      MachineName name, String type, String zone, boolean spot, String state, double ageS) {}

  /** A combination of machine type, zone and spot or ordinary pricing that can be rented. */
  public record Offer(String type, String zone, boolean spot) {
    @Override
    public String toString() {
      return type + "@" + zone + (spot ? "/spot" : "/ordinary");
    }
  }
}
