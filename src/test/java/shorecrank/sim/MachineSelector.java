package shorecrank.sim;

import java.util.List;
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
  List<SimulatedWorker> select(World world);

  /** Does something to each that is meant. */
  default void forEach(World world, Consumer<SimulatedWorker> action) {
    select(world).forEach(action);
  }

  /** Reads the word at an index. */
  static MachineSelector read(ScenarioLine line, int index) {
    String word = line.word(index);
    if (word.equals("all")) {
      return world -> List.copyOf(world.workers());
    }
    if (word.startsWith(ZONE)) {
      String zone = word.substring(ZONE.length());
      return world ->
          world.workers().stream().filter(worker -> worker.zone().equals(zone)).toList();
    }
    if (word.startsWith(JOB)) {
      String job = word.substring(JOB.length());
      return world -> world.workerRunning(job).stream().toList();
    }
    if (!NAME.matcher(word).matches()) {
      throw line.error("'" + word + "' names no machine");
    }
    return world -> world.worker(word).stream().toList();
  }
}
