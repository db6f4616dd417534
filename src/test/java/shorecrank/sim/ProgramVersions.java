package shorecrank.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The versions of the program that tests start as real processes. */
final class ProgramVersions {
  static final Path PROJECT_DIRECTORY = Path.of("").toAbsolutePath();

  private ProgramVersions() {}

  /**
   * Returns the version under test, with the memory options of {@code deploy/service.toml}.
   *
   * @param options options of the daemon, before the configuration file
   */
  static ProgramVersion current(String... options) throws IOException {
    List<String> command = new ArrayList<>();
    for (String word : serviceSetting("run").split(" ")) {
      boolean jar = word.equals("-jar") || word.contains("target/");
      if (word.equals("java") || (word.startsWith("-X") && !jar)) {
        command.add(word);
      }
    }
    String classes = System.getProperty("java.class.path");
    command.addAll(List.of("-cp", classes, "shorecrank.daemon.Main"));
    command.addAll(List.of(options));
    command.add("--config");
    return new ProgramVersion("present", PROJECT_DIRECTORY, command);
  }

  /**
   * Returns the production version: the commit that {@code deploy/service.toml} names, built and
   * run with the commands in that file.
   */
  static ProgramVersion production() throws Exception {
    String commit = serviceSetting("production");
    Path directory = PROJECT_DIRECTORY.resolve("target/production-" + commit.substring(0, 12));
    Path built = directory.resolve("target/shorecrank.jar");
    if (!Files.exists(built)) {
      Files.createDirectories(directory);
      shell(PROJECT_DIRECTORY, "git archive " + commit + " | tar -x -C '" + directory + "'");
      shell(directory, serviceSetting("build"));
    }
    return new ProgramVersion("production", directory, List.of(serviceSetting("run").split(" ")));
  }

  private static void shell(Path directory, String line) throws Exception {
    Process p =
        new ProcessBuilder("bash", "-c", "set -o pipefail; " + line)
            .directory(directory.toFile())
            .inheritIO()
            .start();
    assertTrue(p.waitFor(10, TimeUnit.MINUTES), line);
    assertEquals(0, p.exitValue(), line);
  }

  private static String serviceSetting(String name) throws IOException {
    Matcher m =
        Pattern.compile("(?m)^" + name + " = \"(.*)\"$")
            .matcher(Files.readString(PROJECT_DIRECTORY.resolve("deploy/service.toml")));
    assertTrue(m.find(), name + " is missing in deploy/service.toml");
    return m.group(1);
  }
}
