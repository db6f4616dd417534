package shorecrank.coordination.step;

import com.fasterxml.jackson.databind.JsonNode;

/** An input of one step of the state machine. */
public sealed interface Input {
  /**
   * A request from a user, an operator, a worker or another controller.
   *
   * @param reply the number that identifies the request; its {@link Output.Reply} carries the same
   *     number
   * @param fromPeer whether the request was received on the peer address
   * @param path the path with the query string, if there is one
   * @param body the received bytes; empty if there is no body
   */
  record Request(long reply, boolean fromPeer, String method, String path, byte[] body)
      implements Input {}

  /**
   * The answer to a call.
   *
   * @param call the number of the {@link Output.Call} that is answered
   * @param status the HTTP status; 0 if no answer came within the timeout
   * @param body the parsed body, or a missing node if there is none
   */
  record Answer(long call, int status, JsonNode body) implements Input {}

  /**
   * A periodic tick, at which timers are checked and scheduling rounds run.
   *
   * @param budget limits the processor time that the scheduling rounds of this tick may take
   */
  record Tick(RoundBudget budget) implements Input {}

  /**
   * Tells that this process has had workers' heartbeats waiting for long, so that missing
   * heartbeats say nothing about the workers.
   */
  record HeartbeatsDelayed() implements Input {}

  /** A limit on the processor time of the scheduling rounds of one tick. */
  @FunctionalInterface
  interface RoundBudget {
    /** Reports whether the processor time of the tick is used up. */
    boolean isExhausted();
  }
}
