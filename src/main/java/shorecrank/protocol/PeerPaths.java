package shorecrank.protocol;

/** Paths of requests between controllers, on the peer address. */
public final class PeerPaths {
  /** A controller's heartbeat to the leader. */
  public static final String HEARTBEAT = "/peer/beat";

  /** The leader's wish for a heartbeat at once. */
  public static final String HEARTBEAT_NOW = "/peer/nudge";

  /** A status query to a shard's owner. */
  public static final String STATUS_QUERY = "/peer/ask";

  /** A user's request that another controller can't answer itself. */
  public static final String FORWARDED_REQUEST = "/peer/relay";

  /** Which cancellations the other controller has confirmed to users. */
  public static final String CONFIRMED_CANCELLATIONS = "/peer/confirmed";

  private PeerPaths() {}
}
