package shorecrank.protocol;

/** Paths of requests to the state service. */
public final class StorePaths {
  /** Path of transactions. */
  public static final String TRANSACTION = "/multi";

  /**
   * Path of requests for grants. A grant has a time to live; the keys that are attached to it are
   * deleted when it ends.
   */
  public static final String GRANTS = "/grants";

  private static final String STORE = "/store";

  private StorePaths() {}

  /** Returns the path that reads a key. */
  public static String key(String key) {
    return STORE + "/" + key;
  }

  /**
   * Returns the path that lists keys and values in the order of the keys.
   *
   * @param prefix the prefix of the listed keys
   * @param after the last key of the page before; empty for the first page
   * @param limit the maximum number of entries on the page
   */
  public static String list(String prefix, String after, int limit) {
    String from = after.isEmpty() ? "" : "&from=" + after;
    return STORE + "?prefix=" + prefix + from + "&page=" + limit;
  }

  /**
   * Returns the path that waits for changes of keys.
   *
   * @param prefix the prefix of the watched keys
   * @param from the revision after which changes are reported
   * @param holdMs how long the state service waits for a change, in milliseconds
   */
  public static String watch(String prefix, long from, long holdMs) {
    return "/changes?prefix=" + prefix + "&from=" + from + "&holdMs=" + holdMs;
  }

  /** Returns the path of a grant, by which it is ended. */
  public static String grant(long grantId) {
    return GRANTS + "/" + grantId;
  }

  /** Returns the path that renews a grant. */
  public static String grantRenewal(long grantId) {
    return grant(grantId) + "/touch";
  }
}
