package shorecrank.coordination.request;

import static shorecrank.protocol.HttpStatus.BAD_REQUEST;

import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import shorecrank.coordination.leader.Election;
import shorecrank.coordination.step.Input;
import shorecrank.coordination.step.StepContext;
import shorecrank.coordination.step.StorePageForwarder;
import shorecrank.protocol.Json;
import shorecrank.protocol.MalformedMessageException;
import shorecrank.protocol.OperatorPaths;
import shorecrank.protocol.OperatorRequestCodec;
import shorecrank.protocol.OperatorRequestCodec.KeysQuery;
import shorecrank.protocol.RolloutCodec;
import shorecrank.protocol.RolloutMessages.RolloutOrder;
import shorecrank.protocol.RolloutOrderCodec;
import shorecrank.rollout.ArchiveKeys;
import shorecrank.rollout.RolloutCoordinator;

/**
 * Handles operators' requests about rollouts. Every controller accepts them. The leader answers
 * requests for the status and executes orders; queries for keys are answered by the controller that
 * receives them.
 */
public final class RolloutRequestHandler {
  private static final int READ_TIMEOUT_MS = 2000;
  private static final int KEYS_PER_PAGE = 200;

  /**
   * The characters that a query for keys may contain. Others could alter the path of the request to
   * the state service.
   */
  private static final Pattern KEY_CHARACTERS = Pattern.compile("[A-Za-z0-9/._-]+");

  private static final List<String> READABLE_PREFIXES =
      Stream.concat(
              ArchiveKeys.ARCHIVED_PREFIXES.stream(),
              Stream.of(ArchiveKeys.INDEX_PREFIX, ArchiveKeys.CHUNKS_PREFIX))
          .toList();

  private final StepContext context;
  private final StorePageForwarder pages;
  private final LeaderForwarder leader;
  private final RolloutCoordinator rollout;

  /**
   * Creates the handler of one controller.
   *
   * @param rollout null if rollouts are not enabled on this controller
   */
  public RolloutRequestHandler(StepContext context, Election election, RolloutCoordinator rollout) {
    this.context = context;
    this.pages = new StorePageForwarder(context);
    this.leader =
        new LeaderForwarder(context, election, rollout != null, "rollouts", "--rollout FILE");
    this.rollout = rollout;
  }

  /** Answers with the feature level in force and the levels that the controllers support. */
  public void handleStatus(Input.Request request) {
    leader.answerOrForward(
        request,
        OperatorPaths.ROLLOUT_STATUS,
        () -> leader.replyStatus(request, rollout.status(), RolloutCodec::writeStatus, "level"));
  }

  /** Executes an operator's order and answers with its outcome. */
  public void handleOrder(Input.Request request) {
    leader.answerOrForward(request, OperatorPaths.ROLLOUT_ORDERS, () -> execute(request));
  }

  private void execute(Input.Request request) {
    RolloutOrder order;
    try {
      order = RolloutOrderCodec.read(Json.read(request.body()));
    } catch (MalformedMessageException malformed) {
      leader.refuseMalformed(
          request,
          "rollout.malformed",
          "rollout.order.malformed",
          "malformed order, or level out of range");
      return;
    }
    rollout.handleOrder(
        order,
        outcome ->
            leader.replyOutcome(
                request, outcome, result -> result.accepted(), RolloutOrderCodec::writeOutcome));
  }

  /** Answers with a page of the scheduler's keys or of those of its archives, and no others. */
  public void handleKeysQuery(Input.Request request) {
    if (!leader.requireEnabled(request)) {
      return;
    }
    KeysQuery query;
    try {
      query = OperatorRequestCodec.readKeysQuery(Json.read(request.body()));
    } catch (MalformedMessageException malformed) {
      context.reply(request.reply(), BAD_REQUEST, Json.error(malformed.getMessage()));
      return;
    }
    if (!isReadable(query)) {
      context.reply(
          request.reply(), BAD_REQUEST, Json.error("prefix must be one of " + READABLE_PREFIXES));
      return;
    }
    pages.forward(
        query.prefix(),
        query.after(),
        KEYS_PER_PAGE,
        READ_TIMEOUT_MS,
        request.reply(),
        () ->
            leader.replyUnknown(
                request, context.config().label() + " does not reach the state service"));
  }

  private static boolean isReadable(KeysQuery query) {
    return KEY_CHARACTERS.matcher(query.prefix() + query.after()).matches()
        && READABLE_PREFIXES.stream().anyMatch(query.prefix()::startsWith);
  }
}
