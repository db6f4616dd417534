package shorecrank.protocol;

/** Paths of operators' requests, on the peer address; controllers forward them to the leader. */
public final class OperatorPaths {
  /** Shows the feature level and the controllers' support for others. */
  public static final String ROLLOUT_STATUS = "/rollout/status";

  /** Takes an order that raises, lowers or archives. */
  public static final String ROLLOUT_ORDERS = "/rollout/orders";

  /** Reads keys of the state service, page by page. */
  public static final String ROLLOUT_KEYS = "/rollout/keys";

  /** Shows the shards' shares of the machines and the moves under way. */
  public static final String SHARES_STATUS = "/shares/show";

  /** Takes an order that sets a share, or begins or aborts moves. */
  public static final String SHARES_ORDERS = "/shares/orders";

  private OperatorPaths() {}
}
