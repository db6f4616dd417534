package shorecrank.coordination.request;

import static shorecrank.protocol.HttpStatus.BAD_REQUEST;
import static shorecrank.protocol.HttpStatus.CONFLICT;
import static shorecrank.protocol.HttpStatus.NOT_FOUND;
import static shorecrank.protocol.HttpStatus.NO_ANSWER;
import static shorecrank.protocol.HttpStatus.OK;
import static shorecrank.protocol.HttpStatus.UNAVAILABLE;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Predicate;
import shorecrank.coordination.leader.Election;
import shorecrank.coordination.step.Input;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Json;
import shorecrank.protocol.MalformedMessageException;
import shorecrank.protocol.MessageEncoder;
import shorecrank.protocol.OperatorRequestCodec;

/**
 * Answers operators' requests that only the leader can answer. Controllers that are not the leader
 * forward them, so an operator can send them to any controller.
 */
final class LeaderForwarder {
  private static final int FORWARD_TIMEOUT_MS = 3000;
  private static final int RETRY_AFTER_S = 1;

  private final StepContext context;
  private final Election election;
  private final boolean isEnabled;
  private final String feature;
  private final String option;

  /**
   * Creates the forwarder of one feature.
   *
   * @param isEnabled whether the feature is enabled on this controller
   * @param feature the feature's name, for error messages
   * @param option the command-line option that enables it
   */
  LeaderForwarder(
      StepContext context, Election election, boolean isEnabled, String feature, String option) {
    this.context = context;
    this.election = election;
    this.isEnabled = isEnabled;
    this.feature = feature;
    this.option = option;
  }

  /**
   * Refuses the request if the feature is not enabled on this controller.
   *
   * @return whether the feature is enabled; if so, the request has not been answered
   */
  boolean requireEnabled(Input.Request request) {
    if (!isEnabled) {
      context.reply(
          request.reply(),
          NOT_FOUND,
          Json.error(
              "%s are not enabled on %s (%s)"
                  .formatted(feature, context.config().label(), option)));
    }
    return isEnabled;
  }

  /**
   * Answers a request on this controller if it is the leader, otherwise forwards it to the leader.
   *
   * @param path the path of the forwarded request
   * @param localAction answers the request; run if this controller is the leader
   */
  void answerOrForward(Input.Request request, String path, Runnable localAction) {
    if (!requireEnabled(request)) {
      return;
    }
    ControllerName leader = election.leader();
    if (election.isHoldingKey()) {
      localAction.run();
    } else if (leader == null || leader.equals(context.config().label())) {
      replyUnknown(request, "no controller leads now");
    } else {
      forward(request, path, leader);
    }
  }

  private void forward(Input.Request request, String path, ControllerName leader) {
    JsonNode message;
    try {
      message = request.body().length == 0 ? Json.object() : Json.read(request.body());
    } catch (MalformedMessageException e) {
      context.reply(request.reply(), BAD_REQUEST, Json.error(e.getMessage()));
      return;
    }
    if (OperatorRequestCodec.isForwarded(message)) {
      replyUnknown(request, context.config().label() + " does not lead any more");
      return;
    }
    context
        .peers()
        .forward(
            leader,
            path,
            OperatorRequestCodec.markForwarded(message),
            FORWARD_TIMEOUT_MS,
            request.reply(),
            status -> status != NO_ANSWER && status != NOT_FOUND,
            status ->
                replyUnknown(
                    request,
                    status == NO_ANSWER
                        ? "the leader, " + leader + ", does not answer"
                        : "the leader, " + leader + ", runs without " + feature));
  }

  /**
   * Answers that the result is not known now, and that the operator should repeat the request.
   *
   * @param reason why it is not known, for the operator
   */
  void replyUnknown(Input.Request request, String reason) {
    context.replyWithRetryAfter(
        request.reply(), UNAVAILABLE, OperatorRequestCodec.writeUnknown(reason), RETRY_AFTER_S);
  }

  /**
   * Answers with a status.
   *
   * @param status null if the leader could not read it
   * @param subject what the leader could not read, for the error message
   */
  <S> void replyStatus(Input.Request request, S status, MessageEncoder<S> encoder, String subject) {
    if (status == null) {
      replyUnknown(
          request, "the leader, " + context.config().label() + ", can't read the " + subject);
    } else {
      context.reply(request.reply(), OK, encoder.encode(status));
    }
  }

  /**
   * Answers an order with its outcome: {@code OK} if it was accepted, otherwise {@code CONFLICT}.
   *
   * @param outcome null if the outcome is not known
   */
  <T> void replyOutcome(
      Input.Request request, T outcome, Predicate<T> isAccepted, MessageEncoder<T> encoder) {
    if (outcome == null) {
      replyUnknown(request, "the leader is busy or got no answer: send the same order again");
    } else {
      int status = isAccepted.test(outcome) ? OK : CONFLICT;
      context.reply(request.reply(), status, encoder.encode(outcome));
    }
  }

  /**
   * Refuses a malformed order, counts it and logs it.
   *
   * @param metric the counter to increase
   * @param event the event to log
   * @param error the error message for the operator
   */
  void refuseMalformed(Input.Request request, String metric, String event, String error) {
    context.reportError(metric, event);
    context.reply(request.reply(), BAD_REQUEST, Json.error(error));
  }
}
