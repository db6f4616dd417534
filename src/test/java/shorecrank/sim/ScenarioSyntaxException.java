package shorecrank.sim;

/** A line of a scenario file that can't be read. The message names file, line and reason. */
final class ScenarioSyntaxException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  ScenarioSyntaxException(String file, int lineNumber, String reason) {
    super(file + ", line " + lineNumber + ": " + reason);
  }
}
