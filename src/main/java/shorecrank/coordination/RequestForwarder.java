package shorecrank.coordination;

import static shorecrank.protocol.HttpStatus.BAD_REQUEST;
import static shorecrank.protocol.HttpStatus.CREATED;
import static shorecrank.protocol.HttpStatus.NOT_FOUND;
import static shorecrank.protocol.HttpStatus.OK;
import static shorecrank.protocol.HttpStatus.UNPROCESSABLE;

import java.util.List;
import shorecrank.config.NodeConfig.Member;
import shorecrank.coordination.leader.Election;
import shorecrank.coordination.request.UserRequest;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.ForwardedRequestCodec;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.PeerPaths;
import shorecrank.protocol.PeerRequests.ForwardedRequest;

/** Passes users' requests on to a controller that reaches the state service. */
final class RequestForwarder {
  private static final int FORWARD_TIMEOUT_MS = 2000;

  /** What was heard of other controllers counts for this long. */
  private static final int PEER_INFO_MAX_AGE_MS = 4000;

  private final StepContext context;
  private final Election election;
  private final PeerStoreReachability peerReachability;

  RequestForwarder(StepContext context, Election election, PeerStoreReachability peerReachability) {
    this.context = context;
    this.election = election;
    this.peerReachability = peerReachability;
  }

  /**
   * Passes a request on if another controller is said to reach the state service.
   *
   * @param failed run if the other controller does not answer it
   * @return false if there is no such controller; the request is then not answered
   */
  boolean forward(UserRequest request, Runnable failed) {
    if (!peerReachability.isReachable()
        || peerReachability.msSinceReport() > PEER_INFO_MAX_AGE_MS) {
      return false;
    }
    ControllerName to = election.leader();
    if (to == null || to.equals(context.config().label())) {
      List<Member> others = context.config().members();
      if (others.isEmpty()) {
        return false;
      }
      to = others.get(context.random().nextInt(others.size())).label();
    }
    context.count("user.relayed");
    context
        .peers()
        .forward(
            to,
            PeerPaths.FORWARDED_REQUEST,
            ForwardedRequestCodec.write(
                new ForwardedRequest(request.method(), request.path(), request.body())),
            FORWARD_TIMEOUT_MS,
            request.reply(),
            RequestForwarder::isFinal,
            status -> failed.run());
    return true;
  }

  /** Whether an answer of this status would be the same from any controller. */
  private static boolean isFinal(int status) {
    return switch (status) {
      case OK, CREATED, BAD_REQUEST, NOT_FOUND, UNPROCESSABLE -> true;
      default -> false;
    };
  }
}
