package shorecrank.sim;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** The {@code key=value} words of a scenario line; a word without a value is a flag. */
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

  /** Refuses the line if it has any other option. */
  ScenarioOptions allow(String... names) {
    Set<String> unknown = new TreeSet<>(values.keySet());
    unknown.removeAll(Arrays.asList(names));
    if (!unknown.isEmpty()) {
      throw line.error("unknown options " + unknown + ", known are " + Arrays.toString(names));
    }
    return this;
  }

  /** Refuses the line if one of these has a value that is no number. */
  ScenarioOptions requireNumbers(String... names) {
    for (String name : names) {
      decimal(name, 0);
    }
    return this;
  }

  /** Whether the line has the option. */
  boolean has(String name) {
    return values.containsKey(name);
  }

  /** The option's value, if the line has it. */
  Optional<String> text(String name) {
    return Optional.ofNullable(values.get(name));
  }

  /** The option's value, or another if the line does not have it. */
  String text(String name, String defaultValue) {
    return values.getOrDefault(name, defaultValue);
  }

  /** The option's value as a number, or another if the line does not have it. */
  double decimal(String name, double defaultValue) {
    return text(name).map(value -> number(name, value)).orElse(defaultValue);
  }

  /** The same, cut off to a whole number. */
  int integer(String name, int defaultValue) {
    return (int) decimal(name, defaultValue);
  }

  private double number(String name, String value) {
    return line.parse(value, "a number, as " + name + " must be", Double::valueOf);
  }

  /** Jobs by their ids; {@code wk-10..19} are ten. */
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
