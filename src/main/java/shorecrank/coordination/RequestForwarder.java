package shorecrank.coordination;

import static shorecrank.protocol.HttpStatus.BAD_REQUEST;
import static shorecrank.protocol.HttpStatus.CREATED;
import static shorecrank.protocol.HttpStatus.NOT_FOUND;
import static shorecrank.protocol.HttpStatus.OK;
import static shorecrank.protocol.HttpStatus.UNPROCESSABLE;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import shorecrank.config.NodeConfig.Member;
import shorecrank.coordination.leader.Election;
import shorecrank.coordination.request.UserRequest;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.ForwardedRequestCodec;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.MalformedMessageException;
import shorecrank.protocol.PeerPaths;
import shorecrank.protocol.PeerRequests.ForwardedRequest;

/** Forwards users' requests to a controller that reaches the state service. */
final class RequestForwarder {
  private static final int FORWARD_TIMEOUT_MS = 2000;

  /** How long a report that other controllers reach the state service is relied on. */
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
   * Forwards a request if another controller is known to reach the state service: to the leader or,
   * if this controller leads or no leader is known, to a random other controller.
   *
   * @param onFailure run if the other controller gives no answer that can be passed on to the user
   * @return false if there is no such controller, or the request's body is not JSON; the caller
   *     then has to answer the request
   */
  boolean forward(UserRequest request, Runnable onFailure) {
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
    JsonNode message;
    try {
      message =
          ForwardedRequestCodec.write(
              new ForwardedRequest(request.method(), request.path(), request.body()));
    } catch (MalformedMessageException e) {
      return false;
    }
    context.count("user.relayed");
    context
        .peers()
        .forward(
            to,
            PeerPaths.FORWARDED_REQUEST,
            message,
            FORWARD_TIMEOUT_MS,
            request.reply(),
            RequestForwarder::isFinal,
            status -> onFailure.run());
    return true;
  }

  /**
   * Reports whether an answer with this status would be the same from any controller, so that it
   * can be passed on to the user.
   */
  private static boolean isFinal(int status) {
    return switch (status) {
      case OK, CREATED, BAD_REQUEST, NOT_FOUND, UNPROCESSABLE -> true;
      default -> false;
    };
  }
}
