package shorecrank.coordination.request;

import shorecrank.coordination.leader.Election;
import shorecrank.coordination.step.Input;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Json;
import shorecrank.protocol.ShareMessages;
import shorecrank.protocol.ShareMessages.ShareOrder;
import shorecrank.protocol.ShareMessages.SharesStatus;
import shorecrank.rebalance.MoveCoordinator;

/** Operators' requests about shares, taken by every controller and answered by the leader. */
public final class ShareRequestHandler {
  private final StepContext context;
  private final LeaderForwarder leader;
  private final MoveCoordinator moves;

  /**
   * @param moves null if shares are not enabled here
   */
  public ShareRequestHandler(StepContext context, Election election, MoveCoordinator moves) {
    this.context = context;
    this.leader = new LeaderForwarder(context, election, "shares", "--shares FILE");
    this.moves = moves;
  }

  public void show(Input.Request r) {
    leader.answer(
        r,
        ShareMessages.SHOW,
        moves != null,
        request -> {
          SharesStatus status = moves.status();
          if (status == null) {
            leader.unknown(r, "the leader, " + context.config.label() + ", can't read the moves");
          } else {
            context.reply(r.reply(), 200, ShareMessages.write(status));
          }
        });
  }

  public void order(Input.Request r) {
    leader.answer(
        r,
        ShareMessages.ORDERS,
        moves != null,
        request -> {
          ShareOrder order = ShareMessages.readOrder(request);
          if (order == null) {
            context.refused("shares.malformed", "malformed order of shares refused");
            context.reply(r.reply(), 400, Json.error("malformed order"));
            return;
          }
          moves.order(
              order,
              outcome -> {
                if (outcome == null) {
                  leader.unknown(
                      r, "the leader is busy or got no answer: send the same order again");
                } else {
                  int status = outcome.accepted() ? 200 : 409;
                  context.reply(r.reply(), status, ShareMessages.write(outcome));
                }
              });
        });
  }
}
