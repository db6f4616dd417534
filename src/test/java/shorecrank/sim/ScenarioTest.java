package shorecrank.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeFalse;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** Plays every scenario file, each from a few fixed seeds. */
class ScenarioTest {
  private static final Path DIR = Path.of("src/test/resources/scenarios");

  @TestFactory
  List<DynamicTest> scenarios() throws Exception {
    List<Path> files;
    try (Stream<Path> s = Files.list(DIR)) {
      files = s.filter(p -> p.toString().endsWith(".txt")).sorted().toList();
    }
    assertTrue(files.size() >= 24, "scenario files are missing");
    String only = System.getProperty("scenario", "");
    DigestFile digests = DigestFile.create();
    KnownFailures knownFailures = KnownFailures.read();
    List<DynamicTest> tests = new ArrayList<>();
    for (Path p : files) {
      String name = p.getFileName().toString().replace(".txt", "");
      boolean all = only.endsWith("*") && name.startsWith(only.substring(0, only.length() - 1));
      if (!only.isEmpty() && !name.equals(only) && !all) {
        continue;
      }
      long seeds = Long.getLong("seeds", Scenario.seeds(Files.readString(p)));
      for (long seed = 1; seed <= seeds; seed++) {
        long s = seed;
        tests.add(
            DynamicTest.dynamicTest(
                name + " seed " + s,
                () -> {
                  assumeFalse(only.isEmpty() && knownFailures.hasScenario(name), "known to be red");
                  Scenario scenario = new Scenario(name, Files.readString(p));
                  OutputDigest digest = digests.newDigest();
                  scenario.digestWith(digest);
                  assertEquals(List.of(), scenario.play(s, name.equals(only)));
                  digests.write(name, s, digest);
                }));
      }
    }
    return tests;
  }
}
