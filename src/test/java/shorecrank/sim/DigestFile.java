package shorecrank.sim;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The file named by {@code -Ddigests=FILE}: a line for each scenario and seed played, with the
 * number of outputs and their hash. CONTRIBUTING.md says how it is used.
 */
final class DigestFile {
  private static final String PROPERTY = "digests";

  private final Path file;

  private DigestFile(Path file) {
    this.file = file;
  }

  /** The file that was asked for, emptied; one that takes nothing if none was. */
  static DigestFile create() throws IOException {
    String name = System.getProperty(PROPERTY, "");
    if (name.isEmpty()) {
      return new DigestFile(null);
    }
    Path file = Path.of(name);
    Files.writeString(file, "");
    return new DigestFile(file);
  }

  /** A new digest for one run, or null if no file was asked for. */
  OutputDigest newDigest() {
    return file == null ? null : new OutputDigest();
  }

  /** Writes the line of one run, if a file was asked for. */
  void write(String scenario, long seed, OutputDigest digest) throws IOException {
    if (file != null) {
      String line = scenario + " " + seed + " " + digest.finish() + "\n";
      Files.writeString(file, line, StandardOpenOption.APPEND);
    }
  }
}
