package shorecrank.sim;

import java.util.function.BooleanSupplier;
import shorecrank.coordination.step.Input;

/**
 * The processor of one controller process. It works on one input at a time, and an input that
 * arrives meanwhile waits for all that arrived before it.
 */
final class SimulatedProcessor {
  private final Simulation sim;
  private final ProcessorCosts costs;
  private double usedMs;
  private double freeAtMs;

  SimulatedProcessor(Simulation sim, ProcessorCosts costs) {
    this.sim = sim;
    this.costs = costs;
  }

  /**
   * Executes an input once the processor has worked off all earlier ones.
   *
   * @param isRunning whether the process still runs at that time
   */
  void execute(Input input, BooleanSupplier isRunning, Runnable step) {
    double costMs = costs.costMs(input, usedMs);
    usedMs += costMs;
    freeAtMs = Math.max(freeAtMs, sim.now()) + costMs;
    sim.at(
        (long) Math.ceil(freeAtMs),
        () -> {
          if (isRunning.getAsBoolean()) {
            step.run();
          }
        });
  }
}
