package shorecrank.sim;

/**
 * The expected answer to an operator's order.
 *
 * @param words text that the answer must contain; may be empty
 */
record ExpectedOrderAnswer(String id, boolean accepted, String words) {
  /** Reads {@code NAME ID accepted|refused [words]}. */
  static ExpectedOrderAnswer read(ScenarioLine line) {
    String verdict = line.word(2);
    if (!verdict.equals("accepted") && !verdict.equals("refused")) {
      throw line.error("an order is accepted or refused");
    }
    String words = line.has(3) ? String.join(" ", line.textFrom(3).split("\\s+")) : "";
    return new ExpectedOrderAnswer(line.word(1), verdict.equals("accepted"), words);
  }

  /** Reports whether the order was answered at least once, and all its answers are as expected. */
  boolean matches(OrderSender orders) {
    return orders.allAnswersMatch(id, accepted, words);
  }
}
