package shorecrank.coordination.request;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import shorecrank.coordination.leader.Election;
import shorecrank.coordination.step.Input;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Ids.ControllerName;
import shorecrank.protocol.Json;
import shorecrank.protocol.RolloutMessages;

/**
 * Operators' requests that only the leader can answer. Every controller takes them and passes them
 * on, so that the answer is the same wherever it is asked for.
 */
final class LeaderForwarder {
  private static final int FORWARD_MS = 3000;

  private final StepContext context;
  private final Election election;
  private final String feature;
  private final String option;

  /**
   * @param feature what the requests are about, for those that have it not enabled
   * @param option the command-line option that enables it
   */
  LeaderForwarder(StepContext context, Election election, String feature, String option) {
    this.context = context;
    this.election = election;
    this.feature = feature;
    this.option = option;
  }

  /**
   * Answers a request here, if this controller leads, or has the leader answer it.
   *
   * @param enabled whether the feature is enabled on this controller
   */
  void answer(Input.Request r, String path, boolean enabled, Consumer<JsonNode> here) {
    if (!enabled) {
      notEnabled(r);
      return;
    }
    JsonNode request = Json.parse(r.body());
    ControllerName leader = election.leader();
    if (election.holding()) {
      here.accept(request);
    } else if (leader == null || leader.equals(context.config.label())) {
      unknown(r, "no controller leads now");
    } else if (RolloutMessages.isForwarded(request)) {
      unknown(r, context.config.label() + " does not lead any more");
    } else {
      forward(r, path, leader, request);
    }
  }

  private void forward(Input.Request r, String path, ControllerName leader, JsonNode request) {
    context.peer(
        leader,
        path,
        RolloutMessages.forwarded(request),
        FORWARD_MS,
        (status, body) -> {
          if (status == 0) {
            unknown(r, "the leader, " + leader + ", does not answer");
          } else if (status == 404) {
            unknown(r, "the leader, " + leader + ", runs without " + feature);
          } else {
            context.reply(r.reply(), status, body);
          }
        });
  }

  /** Nobody can tell now: the client asks again. */
  void unknown(Input.Request r, String reason) {
    context.replyLater(r.reply(), 503, RolloutMessages.unknown(reason), 1);
  }

  void notEnabled(Input.Request r) {
    String label = context.config.label().value();
    context.reply(
        r.reply(),
        404,
        Json.error("%s are not enabled on %s (%s)".formatted(feature, label, option)));
  }
}
