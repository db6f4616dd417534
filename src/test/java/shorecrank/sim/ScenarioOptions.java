package shorecrank.sim;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** The {@code key=value} words of a scenario line. A word without a value is a flag. */
final class ScenarioOptions {
  private static final String FLAG_VALUE = "true";

  private final ScenarioLine line;
  private final Map<String, String> values = new TreeMap<>();

  ScenarioOptions(ScenarioLine line, List<String> words) {
    this.line = line;
    for (String word : words) {
      String[] parts = word.split("=", 2);
      values.put(parts[0], parts.length > 1 ? parts[1] : FLAG_VALUE);
    }
  }

  /**
   * Checks that the line has no options other than these.
   *
   * @return this
   * @throws ScenarioSyntaxException if it has
   */
  ScenarioOptions allow(String... names) {
    Set<String> unknown = new TreeSet<>(values.keySet());
    unknown.removeAll(Arrays.asList(names));
    if (!unknown.isEmpty()) {
      throw line.error("unknown options " + unknown + ", known are " + Arrays.toString(names));
    }
    return this;
  }

  /**
   * Checks that the values of these options, where present, are numbers.
   *
   * @return this
   * @throws ScenarioSyntaxException if one is not
   */
  ScenarioOptions requireNumbers(String... names) {
    for (String name : names) {
      decimal(name, 0);
    }
    return this;
  }

  /** Reports whether the line has the option. */
  boolean has(String name) {
    return values.containsKey(name);
  }

  /** Returns the option's value, or empty if the line does not have the option. */
  Optional<String> text(String name) {
    return Optional.ofNullable(values.get(name));
  }

  /** Returns the option's value, or the default if the line does not have the option. */
  String text(String name, String defaultValue) {
    return values.getOrDefault(name, defaultValue);
  }

  /**
   * Returns the option's value as a number, or the default if the line does not have the option.
   */
  double decimal(String name, double defaultValue) {
    return text(name).map(value -> number(name, value)).orElse(defaultValue);
  }

  /**
   * Returns the option's value truncated to an integer, or the default if the line does not have
   * the option.
   */
  int integer(String name, int defaultValue) {
    return (int) decimal(name, defaultValue);
  }

  private double number(String name, String value) {
    return line.parse(value, "a number, as " + name + " must be", Double::valueOf);
  }

  /** Returns the job ids of the option's value; {@code wk-10..19} stands for ten jobs. */
  List<String> jobs(String name) {
    List<String> jobs = new ArrayList<>();
    if (has(name)) {
      for (String word : values.get(name).split(",")) {
        jobs.addAll(line.parse(word, "a job or range of jobs", ScenarioOptions::range));
      }
    }
    return jobs;
  }

  private static List<String> range(String word) {
    int dots = word.indexOf("..");
    if (dots < 0) {
      return List.of(word);
    }
    List<String> jobs = new ArrayList<>();
    int first = Integer.parseInt(word.substring(word.indexOf('-') + 1, dots));
    int last = Integer.parseInt(word.substring(dots + 2));
    for (int i = first; i <= last; i++) {
      jobs.add("wk-" + i);
    }
    return jobs;
  }
}
