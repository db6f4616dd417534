package shorecrank.protocol;

import java.util.List;
import shorecrank.protocol.Ids.MachineName;

/** What the cloud offers, rents and lists. */
public final class CloudMessages {
  /** The catalog of machine types. */
  public static final String CATALOG_PATH = "/catalog";

  /** Rents machines. */
  public static final String RENTAL_PATH = "/hosts";

  /** Returns machines. */
  public static final String RELEASE_PATH = "/hosts/release";

  /** How many machines one request rents at most. */
  public static final int MAX_RENT = 50;

  /** How many machines one request returns at most. */
  public static final int MAX_RELEASE = 100;

  /** How many machines one page of the list holds at most. */
  public static final int MAX_PAGE = 500;

  private CloudMessages() {}

  /** The path of the list's page behind a machine's name; the first page behind an empty one. */
  public static String listPath(String after) {
    return RENTAL_PATH + "?page=" + MAX_PAGE + (after.isEmpty() ? "" : "&from=" + after);
  }

  /**
   * A type of machine.
   *
   * @param cacheGb room for images
   * @param fetchGbPerS nominal rate at which images are fetched
   * @param price of an ordinary machine, per hour
   * @param spotPrice present price of a spot machine, per hour
   * @param bootS nominal time from the rental to the first heartbeat, in seconds
   * @param zones where it is offered
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
    /** The price per hour of a spot machine or an ordinary one. */
    public double price(boolean spot) {
      return spot ? spotPrice : price;
    }
  }

  /**
   * A machine in the cloud's list, which may be out of date.
   *
   * @param state {@code starting}, {@code running} or {@code failed}
   * @param ageS seconds since its rental was asked for, at the time that the list describes
   */
  public record ListedMachine(
      MachineName name, String type, String zone, boolean spot, String state, double ageS) {}

  /** A type, zone and kind of machine that can be rented. */
  public record Offer(String type, String zone, boolean spot) {
    @Override
    public String toString() {
      return type + "@" + zone + (spot ? "/spot" : "/ordinary");
    }
  }
}
