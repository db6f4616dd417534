package shorecrank.sim;

import java.util.List;
import shorecrank.coordination.step.Input;
import shorecrank.coordination.step.Output;

/**
 * Passes the steps and outputs of controllers to the measurements and the digest of a run, if they
 * are requested.
 */
final class RunRecorder {
  private final Simulation sim;
  private final Measurements measurements;
  private final OutputDigest digest;

  /**
   * Creates a recorder.
   *
   * @param measurements null if nothing is measured
   * @param digest null if no digest is computed
   */
  RunRecorder(Simulation sim, Measurements measurements, OutputDigest digest) {
    this.sim = sim;
    this.measurements = measurements;
    this.digest = digest;
  }

  /**
   * Records a step of a controller that took the given time.
   *
   * @return the nanoseconds to add to the controller's processing time, 0 if nothing is measured
   */
  long recordStep(Input input, long nanos, List<Output> outputs) {
    if (measurements == null) {
      return 0;
    }
    measurements.step(input, nanos, outputs);
    return nanos;
  }

  /** Records an output that takes effect now. */
  void recordOutput(ControllerNode node, Output output) {
    if (digest != null) {
      digest.add(node.label(), sim.now(), output);
    }
  }
}
