package shorecrank.sim;

import java.util.List;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/**
 * Selects the machines that a scenario action applies to, at the time when the action runs: {@code
 * all}, {@code zone=ZONE}, {@code of=JOB} (one that runs a task of the job), or a machine's name.
 */
@FunctionalInterface
interface MachineSelector {
  String ZONE = "zone=";
  String JOB = "of=";
  Pattern NAME = Pattern.compile("n-\\d+");

  /** Returns the selected machines that are up now. */
  List<SimulatedWorker> select(World world);

  /** Applies an action to each selected machine. */
  default void forEach(World world, Consumer<SimulatedWorker> action) {
    select(world).forEach(action);
  }

  /** Reads the selector at a word index of a scenario line. */
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
