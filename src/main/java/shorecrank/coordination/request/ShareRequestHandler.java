package shorecrank.coordination.request;

import shorecrank.coordination.leader.Election;
import shorecrank.coordination.step.Input;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Json;
import shorecrank.protocol.MalformedMessageException;
import shorecrank.protocol.OperatorPaths;
import shorecrank.protocol.ShareOrderCodec;
import shorecrank.protocol.ShareOrderMessages.ShareOrder;
import shorecrank.protocol.ShareStateCodec;
import shorecrank.protocol.ShareStatusCodec;
import shorecrank.rebalance.MoveCoordinator;

/**
 * Handles operators' requests about teams' shares of the processors and about moves of machines
 * between shards. Every controller accepts the requests; the leader answers them.
 */
public final class ShareRequestHandler {
  private final LeaderForwarder leader;
  private final MoveCoordinator moves;

  /**
   * Creates the handler of one controller.
   *
   * @param moves null if shares are not enabled on this controller
   */
  public ShareRequestHandler(StepContext context, Election election, MoveCoordinator moves) {
    this.leader = new LeaderForwarder(context, election, moves != null, "shares", "--shares FILE");
    this.moves = moves;
  }

  /** Answers with the shares of the shards and the machine moves in progress. */
  public void handleStatus(Input.Request request) {
    leader.answerOrForward(
        request,
        OperatorPaths.SHARES_STATUS,
        () -> leader.replyStatus(request, moves.status(), ShareStatusCodec::write, "moves"));
  }

  /** Executes an operator's order and answers with its outcome. */
  public void handleOrder(Input.Request request) {
    leader.answerOrForward(request, OperatorPaths.SHARES_ORDERS, () -> execute(request));
  }

  private void execute(Input.Request request) {
    ShareOrder order;
    try {
      order = ShareOrderCodec.read(Json.read(request.body()));
    } catch (MalformedMessageException malformed) {
      leader.refuseMalformed(
          request, "shares.malformed", "shares.order.malformed", "malformed order");
      return;
    }
    moves.handleOrder(
        order,
        outcome ->
            leader.replyOutcome(
                request, outcome, result -> result.accepted(), ShareStateCodec::writeOutcome));
  }
}
