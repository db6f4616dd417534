package shorecrank.sim;

/** Thrown if a line of a scenario file can't be parsed. The message names file, line and reason. */
final class ScenarioSyntaxException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  ScenarioSyntaxException(String file, int lineNumber, String reason) {
    super(file + ", line " + lineNumber + ": " + reason);
  }
}
