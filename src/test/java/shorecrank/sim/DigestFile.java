package shorecrank.sim;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The file that the system property {@code digests} names. It receives one line per scenario and
 * seed, with the number of outputs of the controllers and their hash; CONTRIBUTING.md explains its
 * use.
 */
final class DigestFile {
  private static final String PROPERTY = "digests";

  private final Path file;

  private DigestFile(Path file) {
    this.file = file;
  }

  /**
   * Empties the file that the system property names.
   *
   * @return a digest file that writes nothing if the property is not set
   */
  static DigestFile create() throws IOException {
    String name = System.getProperty(PROPERTY, "");
    if (name.isEmpty()) {
      return new DigestFile(null);
    }
    Path file = Path.of(name);
    Files.writeString(file, "");
    return new DigestFile(file);
  }

  /** Returns a new digest for one run, or null if the property is not set. */
  OutputDigest newDigest() {
    return file == null ? null : new OutputDigest();
  }

  /** Appends the line of one run, if the property is set. */
  void write(String scenario, long seed, OutputDigest digest) throws IOException {
    if (file != null) {
      String line = scenario + " " + seed + " " + digest.finish() + "\n";
      Files.writeString(file, line, StandardOpenOption.APPEND);
    }
  }
}
