package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Sends operators' orders until they are answered, as the command-line client does. */
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

  /**
   * Sends an order to the controller at an index, and to the next ones in turn until one answers.
   */
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

  /** Returns all answers to an order; the order may have been sent to several controllers. */
  List<JsonNode> answers(String id) {
    return answers.getOrDefault(id, List.of());
  }

  /**
   * Reports whether the order was answered, and every answer has this verdict and contains the
   * words.
   */
  boolean allAnswersMatch(String id, boolean accepted, String words) {
    return !answers(id).isEmpty()
        && answers(id).stream()
            .allMatch(
                answer ->
                    answer.path("accepted").asBoolean() == accepted
                        && answer.toString().contains(words));
  }

  /** Returns all answers as text for a failure report. */
  String describe() {
    return answers.toString();
  }
}
