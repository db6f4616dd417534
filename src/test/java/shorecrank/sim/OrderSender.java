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
  private static final long GIVE_UP_AFTER_MS = 90_000;

  private final World world;
  private final String path;

  private final Map<String, List<JsonNode>> answers = new TreeMap<>();

  OrderSender(World world, String path) {
    this.world = world;
    this.path = path;
  }

  /** Sends an order to a controller, and to the next ones while there is no answer. */
  void send(int index, String id, JsonNode order) {
    send(index, id, order, world.sim.now() + GIVE_UP_AFTER_MS);
  }

  private void send(int index, String id, JsonNode order, long untilMs) {
    if (world.sim.now() > untilMs) {
      return;
    }
    boolean[] done = new boolean[1];
    Runnable retry =
        () -> {
          if (!done[0]) {
            done[0] = true;
            int next = (index + 1) % world.controllers().size();
            world.sim.after(RETRY_MS, () -> send(next, id, order, untilMs));
          }
        };
    world.sim.after(TIMEOUT_MS, retry);
    world
        .controllers()
        .get(index)
        .receive(
            ControllerRequest.order(path, order),
            (status, answer) -> {
              boolean isFinal = status == 200 || status == 409 || status == 400;
              if (!isFinal) {
                retry.run();
              } else if (!done[0]) {
                done[0] = true;
                answers.computeIfAbsent(id, k -> new ArrayList<>()).add(answer);
              }
            });
  }

  /** All answers to an order, from as many controllers as were asked. */
  List<JsonNode> answers(String id) {
    return answers.getOrDefault(id, List.of());
  }

  /** Whether all answers to an order accepted or refused it, and hold some words. */
  boolean allAnswersMatch(String id, boolean accepted, String words) {
    return !answers(id).isEmpty()
        && answers(id).stream()
            .allMatch(
                answer ->
                    answer.path("accepted").asBoolean() == accepted
                        && answer.toString().contains(words));
  }

  /** All answers, for the report of a failure. */
  String describe() {
    return answers.toString();
  }
}
