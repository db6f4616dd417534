package shorecrank.sim;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/**
 * Which machines an action is for, found out when it runs: {@code all}, {@code zone=ZONE}, {@code
 * of=JOB} (one that runs a task of it), or a machine's name.
 */
@FunctionalInterface
interface MachineSelector {
  String ZONE = "zone=";
  String JOB = "of=";
  Pattern NAME = Pattern.compile("n-\\d+");

  /** Those that are there now. */
  List<Worker> select(World world);

  /** Does something to each that is meant. */
  default void forEach(World world, Consumer<Worker> action) {
    select(world).forEach(action);
  }

  /** Reads the word at an index. */
  static MachineSelector read(ScenarioLine line, int index) {
    String word = line.word(index);
    if (word.equals("all")) {
      return world -> List.copyOf(world.workers.values());
    }
    if (word.startsWith(ZONE)) {
      String zone = word.substring(ZONE.length());
      return world ->
          world.workers.values().stream().filter(worker -> worker.zone.equals(zone)).toList();
    }
    if (word.startsWith(JOB)) {
      String job = word.substring(JOB.length());
      return world -> optional(world.runs(job));
    }
    if (!NAME.matcher(word).matches()) {
      throw line.error("'" + word + "' names no machine");
    }
    return world -> optional(world.workers.get(word));
  }

  private static List<Worker> optional(Worker worker) {
    return Optional.ofNullable(worker).map(List::of).orElse(List.of());
  }
}
