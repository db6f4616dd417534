package shorecrank.sim;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Runs generated scenario actions, written as in a scenario file and separated by ";". */
final class FaultScript {
  private static final String SEPARATOR = ";";
  private static final double MS_PER_S = 1000;

  private final World world;
  private final ScenarioLine origin;
  private final List<String> scheduled = new ArrayList<>();

  /**
   * @param origin the scenario line that asked for the actions
   */
  FaultScript(World world, ScenarioLine origin) {
    this.world = world;
    this.origin = origin;
  }

  /** Schedules actions for a time, in seconds from the start of the run. */
  void schedule(double seconds, String actions) {
    scheduled.add("at %.1f %s".formatted(seconds, actions));
    for (String action : actions.split(SEPARATOR)) {
      world.sim.at((long) (seconds * MS_PER_S), () -> run(action));
    }
  }

  /** Returns the scheduled actions with their times, in the order in which they were scheduled. */
  List<String> scheduled() {
    return Collections.unmodifiableList(scheduled);
  }

  /** Runs actions now, one after the other. */
  void run(String actions) {
    for (String action : actions.split(SEPARATOR)) {
      Actions.read(origin.withText(action)).run(world);
    }
  }
}
