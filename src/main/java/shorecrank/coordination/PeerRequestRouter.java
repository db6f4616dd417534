package shorecrank.coordination;

import static shorecrank.protocol.HttpStatus.BAD_REQUEST;
import static shorecrank.protocol.HttpStatus.NOT_FOUND;
import static shorecrank.protocol.HttpStatus.OK;
import static shorecrank.protocol.HttpStatus.UNAVAILABLE;

import shorecrank.coordination.leader.Leader;
import shorecrank.coordination.model.CancellationLog;
import shorecrank.coordination.request.RolloutRequestHandler;
import shorecrank.coordination.request.ShareRequestHandler;
import shorecrank.coordination.request.UserRequest;
import shorecrank.coordination.step.Input;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CancellationCodec;
import shorecrank.protocol.ForwardedRequestCodec;
import shorecrank.protocol.HeartbeatAnswerCodec;
import shorecrank.protocol.HeartbeatCodec;
import shorecrank.protocol.HeartbeatMessages.Heartbeat;
import shorecrank.protocol.HeartbeatMessages.HeartbeatAnswer;
import shorecrank.protocol.Json;
import shorecrank.protocol.MalformedMessageException;
import shorecrank.protocol.OperatorPaths;
import shorecrank.protocol.PeerPaths;
import shorecrank.protocol.PeerRequests.ConfirmationQuery;
import shorecrank.protocol.PeerRequests.ForwardedRequest;
import shorecrank.protocol.PeerRequests.StatusQuery;
import shorecrank.protocol.StatusQueryCodec;

/** Routes requests on the peer address, from other controllers and from operators, by path. */
final class PeerRequestRouter {
  private static final String POST = "POST";

  private final StepContext context;
  private final MethodGuard methods;
  private final Handlers handlers;

  /** The components that answer requests on the peer address. */
  record Handlers(
      Leader leader,
      HeartbeatExchange heartbeats,
      PeerStoreReachability peerReachability,
      OwnerTable owners,
      StatusQueryForwarder statusQueries,
      CancellationLog cancellations,
      UserRequestRouter users,
      RolloutRequestHandler rollouts,
      ShareRequestHandler shares) {}

  PeerRequestRouter(StepContext context, MethodGuard methods, Handlers handlers) {
    this.context = context;
    this.methods = methods;
    this.handlers = handlers;
  }

  /**
   * Passes the request to its handler, which answers it in this step or a later one.
   *
   * @param path the request's path without the query string
   */
  void route(Input.Request request, String path) {
    switch (path) {
      case PeerPaths.HEARTBEAT -> post(request, () -> handleHeartbeat(request));
      case PeerPaths.HEARTBEAT_NOW -> post(request, () -> requestHeartbeatNow(request));
      case PeerPaths.STATUS_QUERY -> post(request, () -> handleStatusQuery(request));
      case PeerPaths.CONFIRMED_CANCELLATIONS ->
          post(request, () -> handleConfirmationQuery(request));
      case PeerPaths.FORWARDED_REQUEST -> post(request, () -> handleForwardedRequest(request));
      case OperatorPaths.ROLLOUT_STATUS -> handlers.rollouts.handleStatus(request);
      case OperatorPaths.ROLLOUT_ORDERS ->
          post(request, () -> handlers.rollouts.handleOrder(request));
      case OperatorPaths.ROLLOUT_KEYS ->
          post(request, () -> handlers.rollouts.handleKeysQuery(request));
      case OperatorPaths.SHARES_STATUS -> handlers.shares.handleStatus(request);
      case OperatorPaths.SHARES_ORDERS -> post(request, () -> handlers.shares.handleOrder(request));
      default -> context.reply(request.reply(), NOT_FOUND, Json.error("no such path"));
    }
  }

  private void post(Input.Request request, Runnable action) {
    methods.require(POST, request.method(), request.reply(), action);
  }

  private void handleHeartbeat(Input.Request request) {
    Heartbeat heartbeat;
    try {
      heartbeat = HeartbeatCodec.read(Json.read(request.body()));
    } catch (MalformedMessageException malformed) {
      refuseMalformed(request, "heartbeat", "beat");
      return;
    }
    context.recordPeerContact();
    handlers.peerReachability.recordPeer(heartbeat.storeReachable());
    HeartbeatAnswer answer = handlers.leader.handleHeartbeat(heartbeat);
    if (answer == null) {
      context.reply(
          request.reply(),
          UNAVAILABLE,
          HeartbeatAnswerCodec.writeRefusal(context.isStoreReachable()));
    } else {
      context.reply(request.reply(), OK, HeartbeatAnswerCodec.write(answer));
    }
  }

  private void requestHeartbeatNow(Input.Request request) {
    handlers.heartbeats.requestNow();
    context.reply(request.reply(), OK, Json.object());
  }

  private void handleStatusQuery(Input.Request request) {
    StatusQuery query;
    try {
      query = StatusQueryCodec.readQuery(Json.read(request.body()));
    } catch (MalformedMessageException malformed) {
      refuseMalformed(request, "status_query", "question");
      return;
    }
    handlers.statusQueries.answerPeer(request.reply(), query);
  }

  private void handleConfirmationQuery(Input.Request request) {
    ConfirmationQuery query;
    try {
      query = CancellationCodec.readQuery(Json.read(request.body()));
    } catch (MalformedMessageException malformed) {
      refuseMalformed(request, "confirmation_query", "question");
      return;
    }
    if (query.isMalformed()) {
      refuseMalformed(request, "confirmation_query", "question");
      return;
    }
    context.reply(
        request.reply(),
        OK,
        CancellationCodec.write(
            handlers.cancellations.recentlyConfirmed(
                query.withinMs(), query.limit(), handlers.owners.all())));
  }

  private void handleForwardedRequest(Input.Request request) {
    ForwardedRequest forwarded;
    try {
      forwarded = ForwardedRequestCodec.read(Json.read(request.body()));
    } catch (MalformedMessageException malformed) {
      refuseMalformed(request, "forwarded_request", "request");
      return;
    }
    handlers.users.route(
        new UserRequest(
            request.reply(), forwarded.method(), forwarded.path(), forwarded.body(), true));
  }

  /**
   * Rejects a malformed message.
   *
   * @param loggedKind the kind of message as the log event names it
   * @param repliedKind the kind of message as the reply to the sender names it
   */
  private void refuseMalformed(Input.Request request, String loggedKind, String repliedKind) {
    context.reportError("peer.malformed", "peer.message.malformed kind=" + loggedKind);
    context.reply(request.reply(), BAD_REQUEST, Json.error("malformed " + repliedKind));
  }
}
