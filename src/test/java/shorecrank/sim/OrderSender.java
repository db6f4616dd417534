package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Sends operators' orders until they are answered, like the command-line client. */
final class OrderSender {
  private static final long RETRY_MS = 1000;
  private static final long TIMEOUT_MS = 4000;
  private static final long GIVEN_UP_MS = 90_000;

  private final World world;
  private final String path;

  /** Answers, by order id. */
  final Map<String, List<JsonNode>> outcomes = new TreeMap<>();

  /** The status of the latest answer, by order id. */
  final Map<String, Integer> statuses = new TreeMap<>();

  OrderSender(World world, String path) {
    this.world = world;
    this.path = path;
  }

  /** Sends an order to a controller, and to the next ones while there is no answer. */
  void send(int index, String id, JsonNode order) {
    send(index, id, order, world.sim.now + GIVEN_UP_MS);
  }

  private void send(int index, String id, JsonNode order, long until) {
    if (world.sim.now > until) {
      return;
    }
    boolean[] over = new boolean[1];
    Runnable again =
        () -> {
          if (!over[0]) {
            over[0] = true;
            int other = (index + 1) % world.nodes.size();
            world.sim.after(RETRY_MS, () -> send(other, id, order, until));
          }
        };
    world.sim.after(TIMEOUT_MS, again);
    world.request(
        world.nodes.get(index),
        true,
        "POST",
        path,
        order,
        (status, answer) -> {
          if (over[0]) {
            return;
          }
          if (status == 200 || status == 409 || status == 400) {
            over[0] = true;
            outcomes.computeIfAbsent(id, k -> new ArrayList<>()).add(answer);
            statuses.put(id, status);
          } else {
            again.run();
          }
        });
  }

  /** Whether all answers to an order accepted or refused it, and hold some words. */
  boolean allSay(String id, boolean accepted, String words) {
    List<JsonNode> answers = outcomes.getOrDefault(id, List.of());
    return !answers.isEmpty()
        && answers.stream()
            .allMatch(
                n -> n.path("accepted").asBoolean() == accepted && n.toString().contains(words));
  }
}
