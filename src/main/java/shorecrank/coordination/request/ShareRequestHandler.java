package shorecrank.coordination.request;

import shorecrank.coordination.leader.Election;
import shorecrank.coordination.step.Input;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Json;
import shorecrank.protocol.ShareMessages;
import shorecrank.protocol.ShareMessages.ShareOrder;
import shorecrank.rebalance.MoveCoordinator;

/** Operators' requests about shares, taken by every controller and answered by the leader. */
public final class ShareRequestHandler {
  private final LeaderForwarder leader;
  private final MoveCoordinator moves;

  /**
   * Creates the handler of one controller.
   *
   * @param moves null if shares are not enabled here
   */
  public ShareRequestHandler(StepContext context, Election election, MoveCoordinator moves) {
    this.leader = new LeaderForwarder(context, election, moves != null, "shares", "--shares FILE");
    this.moves = moves;
  }

  /** Answers with the shares and the moves under way. */
  public void show(Input.Request request) {
    leader.answer(
        request,
        ShareMessages.SHOW,
        () -> leader.replyStatus(request, moves.status(), ShareMessages::write, "moves"));
  }

  /** Carries an operator's order out. */
  public void order(Input.Request request) {
    leader.answer(request, ShareMessages.ORDERS, () -> carryOut(request));
  }

  private void carryOut(Input.Request request) {
    ShareOrder order = ShareMessages.readOrder(Json.parse(request.body()));
    if (order == null) {
      leader.refuseMalformed(
          request, "shares.malformed", "shares.order.malformed", "malformed order");
      return;
    }
    moves.order(
        order,
        outcome ->
            leader.replyOutcome(
                request, outcome, result -> result.accepted(), ShareMessages::write));
  }
}
