package shorecrank.coordination.request;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import shorecrank.coordination.leader.Election;
import shorecrank.coordination.step.Input;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Json;
import shorecrank.protocol.RolloutMessages;
import shorecrank.protocol.RolloutMessages.Order;
import shorecrank.protocol.RolloutMessages.Status;
import shorecrank.protocol.StoreMessages;
import shorecrank.rollout.ArchiveKeys;
import shorecrank.rollout.RolloutCoordinator;

/**
 * Operators' requests about rollouts, taken by every controller. The leader answers; the others
 * pass the request on, so that the answer is the same wherever it is asked for.
 */
public final class RolloutRequestHandler {
  private static final int READ_MS = 2000;
  private static final int PAGE = 200;

  /** What keys of the service are made of, so that none can change the request's path. */
  private static final Pattern PLAIN = Pattern.compile("[A-Za-z0-9/._-]+");

  private final StepContext context;
  private final LeaderForwarder leader;
  private final RolloutCoordinator rollout;

  /**
   * @param rollout null if rollouts are not enabled here
   */
  public RolloutRequestHandler(StepContext context, Election election, RolloutCoordinator rollout) {
    this.context = context;
    this.leader = new LeaderForwarder(context, election, "rollouts", "--rollout FILE");
    this.rollout = rollout;
  }

  public void status(Input.Request r) {
    leader.answer(
        r,
        RolloutMessages.STATUS,
        rollout != null,
        request -> {
          Status status = rollout.status();
          if (status == null) {
            leader.unknown(r, "the leader, " + context.config.label() + ", can't read the level");
          } else {
            context.reply(r.reply(), 200, RolloutMessages.write(status));
          }
        });
  }

  public void order(Input.Request r) {
    leader.answer(
        r,
        RolloutMessages.ORDERS,
        rollout != null,
        request -> {
          Order order = RolloutMessages.readOrder(request);
          if (order == null) {
            context.refused("rollout.malformed", "malformed rollout order refused");
            context.reply(r.reply(), 400, Json.error("malformed order, or level out of range"));
            return;
          }
          rollout.order(
              order,
              outcome -> {
                if (outcome == null) {
                  leader.unknown(
                      r, "the leader is busy or got no answer: send the same order again");
                } else {
                  int status = outcome.accepted() ? 200 : 409;
                  context.reply(r.reply(), status, RolloutMessages.write(outcome));
                }
              });
        });
  }

  /** Only keys of the service, and its archives. */
  public void keys(Input.Request r) {
    if (rollout == null) {
      leader.notEnabled(r);
      return;
    }
    JsonNode request = Json.parse(r.body());
    String prefix = RolloutMessages.keysPrefix(request);
    List<String> readable =
        Stream.concat(
                ArchiveKeys.PREFIXES.stream(), Stream.of(ArchiveKeys.INDEX, ArchiveKeys.CHUNKS))
            .toList();
    String after = RolloutMessages.keysAfter(request);
    boolean plain = PLAIN.matcher(prefix + after).matches();
    if (!plain || readable.stream().noneMatch(prefix::startsWith)) {
      context.reply(r.reply(), 400, Json.error("prefix must be one of " + readable));
      return;
    }
    context.state(
        "GET",
        StoreMessages.list(prefix, after, PAGE),
        null,
        READ_MS,
        (status, body) -> {
          if (status == 200) {
            context.reply(r.reply(), 200, body);
          } else {
            leader.unknown(r, context.config.label() + " does not reach the state service");
          }
        });
  }
}
