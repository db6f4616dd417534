package shorecrank.sim;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The tests that {@code KNOWN-RED.txt} lists, one a line: the test, a semicolon, its cause and the
 * issue about it. A run of all tests passes over these; asked for by name, they are run.
 */
final class KnownFailures {
  private static final Path FILE = Path.of("KNOWN-RED.txt");
  private static final String END_OF_NAME = ";";

  private final Set<String> tests;

  private KnownFailures(Set<String> tests) {
    this.tests = tests;
  }

  /** Reads the list. */
  static KnownFailures read() throws IOException {
    return new KnownFailures(
        Files.readAllLines(FILE).stream()
            .map(line -> line.split(END_OF_NAME, 2)[0].trim())
            .collect(Collectors.toSet()));
  }

  /** Whether a scenario is listed. */
  boolean hasScenario(String name) {
    return tests.contains("ScenarioTest " + name);
  }
}
