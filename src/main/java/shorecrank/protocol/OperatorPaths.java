package shorecrank.protocol;

/**
 * Paths of operators' requests to a controller's peer address. Any controller answers {@link
 * #ROLLOUT_KEYS}; a controller that is not the leader forwards the others to the leader.
 */
public final class OperatorPaths {
  /** Returns the feature level in force and the levels that each controller supports. */
  public static final String ROLLOUT_STATUS = "/rollout/status";

  /**
   * Accepts an order that raises or lowers the feature level, stops such a change, or makes an
   * archive.
   */
  public static final String ROLLOUT_ORDERS = "/rollout/orders";

  /** Reads keys of the state service page by page. */
  public static final String ROLLOUT_KEYS = "/rollout/keys";

  /** Returns the shards' machines, targets and moves. */
  public static final String SHARES_STATUS = "/shares/show";

  /** Accepts an order that sets a team's share, or begins or aborts moves. */
  public static final String SHARES_ORDERS = "/shares/orders";

  private OperatorPaths() {}
}
