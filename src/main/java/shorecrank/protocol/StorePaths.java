package shorecrank.protocol;

/** Paths of requests to the state service. */
public final class StorePaths {
  /** Carries out a transaction. */
  public static final String TRANSACTION = "/multi";

  /** Begins a grant: a time-limited hold on keys, which are removed when it ends. */
  public static final String GRANTS = "/grants";

  private static final String STORE = "/store";

  private StorePaths() {}

  /** Reads a key. */
  public static String key(String key) {
    return STORE + "/" + key;
  }

  /**
   * Lists keys and values in the order of keys.
   *
   * @param after the key behind which the page begins; empty for the first page
   * @param limit how many entries the page holds at most
   */
  public static String list(String prefix, String after, int limit) {
    String from = after.isEmpty() ? "" : "&from=" + after;
    return STORE + "?prefix=" + prefix + from + "&page=" + limit;
  }

  /**
   * Waits for changes of keys.
   *
   * @param from the revision behind which changes are wanted
   * @param holdMs how long the service waits for one, in milliseconds
   */
  public static String watch(String prefix, long from, long holdMs) {
    return "/changes?prefix=" + prefix + "&from=" + from + "&holdMs=" + holdMs;
  }

  /** A grant, to be ended. */
  public static String grant(long grantId) {
    return GRANTS + "/" + grantId;
  }

  /** A grant's renewal. */
  public static String grantRenewal(long grantId) {
    return grant(grantId) + "/touch";
  }
}
