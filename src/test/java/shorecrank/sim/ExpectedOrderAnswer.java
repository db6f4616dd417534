package shorecrank.sim;

/**
 * What the answers to an operator's order are expected to say.
 *
 * @param words that they hold; may be empty
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

  /** Whether there are answers, and all of them say so. */
  boolean matches(OrderSender orders) {
    return orders.allAnswersMatch(id, accepted, words);
  }
}
