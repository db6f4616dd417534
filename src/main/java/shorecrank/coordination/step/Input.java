package shorecrank.coordination.step;

import com.fasterxml.jackson.databind.JsonNode;

/** What happens to the core. */
public sealed interface Input {
  /** A request on the public or the peer address; {@code reply} names where the answer goes. */
  record Request(long reply, boolean fromPeer, String method, String path, byte[] body)
      implements Input {}

  /** The answer to a call; status 0 if there was none in time. */
  record Answer(long call, int status, JsonNode body) implements Input {}

  /** Time has passed; {@code budget} says when a round of decisions has had its share. */
  record Tick(RoundBudget budget) implements Input {}

  /** Tells a round whether its time is spent. */
  @FunctionalInterface
  interface RoundBudget {
    boolean spent();
  }
}
