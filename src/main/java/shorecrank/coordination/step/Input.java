package shorecrank.coordination.step;

import com.fasterxml.jackson.databind.JsonNode;

/** What the state machine takes in a step. */
public sealed interface Input {
  /**
   * A request.
   *
   * @param reply names where the answer goes
   * @param fromPeer whether it came on the peer address
   * @param body as it was received; empty if there is none
   */
  record Request(long reply, boolean fromPeer, String method, String path, byte[] body)
      implements Input {}

  /**
   * The answer to a call.
   *
   * @param call the number of the call
   * @param status of HTTP; 0 if there was no answer in time
   * @param body a missing node if there is none
   */
  record Answer(long call, int status, JsonNode body) implements Input {}

  /**
   * Time has passed: a round is due.
   *
   * @param budget says when the round's decisions have taken their time
   */
  record Tick(RoundBudget budget) implements Input {}

  /** The processor time of a round. */
  @FunctionalInterface
  interface RoundBudget {
    /** Whether the round's time is spent. */
    boolean isExhausted();
  }
}
