package shorecrank.transport;

/** The classes of requests to a controller, in the order in which they are served. */
public enum RequestClass {
  /** From another controller or an operator. */
  PEER(Integer.MAX_VALUE),

  /** A probe of a load balancer. */
  HEALTH_CHECK(1000),

  /** A user's query about a job. */
  QUERY(2000),

  /** Any other request of a user. */
  CHANGE(5000),

  /** A heartbeat of a worker. */
  HEARTBEAT(4000);

  private static final String HEALTH_PATH = "/healthz";
  private static final String HEARTBEAT_PATH = "/v1/report";
  private static final String QUERY_METHOD = "GET";

  private final int patienceMs;

  RequestClass(int patienceMs) {
    this.patienceMs = patienceMs;
  }

  /** Returns how long the sender waits for an answer, in milliseconds. */
  public int patienceMs() {
    return patienceMs;
  }

  /**
   * Returns the class of a request.
   *
   * @param fromPeer whether it arrived on the address for controllers and operators
   * @param path the path, with or without a query string
   */
  public static RequestClass of(boolean fromPeer, String method, String path) {
    if (fromPeer) {
      return PEER;
    }
    return switch (path) {
      case HEARTBEAT_PATH -> HEARTBEAT;
      case HEALTH_PATH -> HEALTH_CHECK;
      default -> method.equals(QUERY_METHOD) ? QUERY : CHANGE;
    };
  }
}
