package shorecrank.protocol;

/** Paths of requests between controllers, on the peer address. */
public final class PeerPaths {
  /** Receives a controller's heartbeat to the leader. */
  public static final String HEARTBEAT = "/peer/beat";

  /** Makes a controller send its next heartbeat to the leader without delay. */
  public static final String HEARTBEAT_NOW = "/peer/nudge";

  /** Asks a shard's owner for the statuses of jobs. */
  public static final String STATUS_QUERY = "/peer/ask";

  /** Receives a user's request that another controller forwards. */
  public static final String FORWARDED_REQUEST = "/peer/relay";

  /** Asks a controller which cancellations it has confirmed to users. */
  public static final String CONFIRMED_CANCELLATIONS = "/peer/confirmed";

  private PeerPaths() {}
}
