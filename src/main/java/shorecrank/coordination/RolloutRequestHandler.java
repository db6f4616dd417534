package shorecrank.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import shorecrank.protocol.Ids.NodeLabel;
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
final class RolloutRequestHandler {
  private static final int FORWARD_MS = 3000;
  private static final int READ_MS = 2000;
  private static final int PAGE = 200;

  /** What keys of the service are made of, so that none can change the request's path. */
  private static final Pattern PLAIN = Pattern.compile("[A-Za-z0-9/._-]+");

  private final Ports ports;
  private final Election election;
  private final RolloutCoordinator rollout;

  /**
   * @param rollout null if rollouts are not enabled here
   */
  RolloutRequestHandler(Ports ports, Election election, RolloutCoordinator rollout) {
    this.ports = ports;
    this.election = election;
    this.rollout = rollout;
  }

  void status(Input.Request r) {
    atLeader(
        r,
        RolloutMessages.STATUS,
        request -> {
          Status status = rollout.status();
          if (status == null) {
            unknown(r, "the leader, " + ports.config.label() + ", can't read the level");
          } else {
            ports.reply(r.reply(), 200, RolloutMessages.write(status));
          }
        });
  }

  void order(Input.Request r) {
    atLeader(
        r,
        RolloutMessages.ORDERS,
        request -> {
          Order order = RolloutMessages.readOrder(request);
          if (order == null) {
            ports.refused("rollout.malformed", "malformed rollout order refused");
            ports.reply(r.reply(), 400, Json.error("malformed order, or level out of range"));
            return;
          }
          rollout.order(
              order,
              outcome -> {
                if (outcome == null) {
                  unknown(r, "the leader is busy or got no answer: send the same order again");
                } else {
                  int status = outcome.accepted() ? 200 : 409;
                  ports.reply(r.reply(), status, RolloutMessages.write(outcome));
                }
              });
        });
  }

  /** Only keys of the service, and its archives. */
  void keys(Input.Request r) {
    if (rollout == null) {
      notEnabled(r);
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
      ports.reply(r.reply(), 400, Json.error("prefix must be one of " + readable));
      return;
    }
    ports.state(
        "GET",
        StoreMessages.list(prefix, after, PAGE),
        null,
        READ_MS,
        (status, body) -> {
          if (status == 200) {
            ports.reply(r.reply(), 200, body);
          } else {
            unknown(r, ports.config.label() + " does not reach the state service");
          }
        });
  }

  private void atLeader(Input.Request r, String path, Consumer<JsonNode> here) {
    if (rollout == null) {
      notEnabled(r);
      return;
    }
    JsonNode request = Json.parse(r.body());
    NodeLabel leader = election.leader();
    if (election.holding()) {
      here.accept(request);
    } else if (leader == null || leader.equals(ports.config.label())) {
      unknown(r, "no controller leads now");
    } else if (RolloutMessages.isForwarded(request)) {
      unknown(r, ports.config.label() + " does not lead any more");
    } else {
      ports.peer(
          leader,
          path,
          RolloutMessages.forwarded(request),
          FORWARD_MS,
          (status, body) -> {
            if (status == 0) {
              unknown(r, "the leader, " + leader + ", does not answer");
            } else if (status == 404) {
              unknown(r, "the leader, " + leader + ", runs without rollouts");
            } else {
              ports.reply(r.reply(), status, body);
            }
          });
    }
  }

  private void unknown(Input.Request r, String reason) {
    ports.replyLater(r.reply(), 503, RolloutMessages.unknown(reason), 1);
  }

  private void notEnabled(Input.Request r) {
    ports.reply(
        r.reply(),
        404,
        Json.error("rollouts are not enabled on " + ports.config.label() + " (--rollout FILE)"));
  }
}
