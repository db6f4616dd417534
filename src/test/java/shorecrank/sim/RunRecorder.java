package shorecrank.sim;

import java.util.List;
import shorecrank.coordination.step.Input;
import shorecrank.coordination.step.Output;

/** Passes what controllers do on to who measures or digests it, if anybody does. */
final class RunRecorder {
  private final Simulation sim;
  private final Measurements measurements;
  private final OutputDigest digest;

  /**
   * @param measurements null if nothing is measured
   * @param digest null if there is none
   */
  RunRecorder(Simulation sim, Measurements measurements, OutputDigest digest) {
    this.sim = sim;
    this.measurements = measurements;
    this.digest = digest;
  }

  /** A controller has made a step; returns the nanoseconds to count, 0 if nothing is measured. */
  long recordStep(Input input, long nanos, List<Output> outputs) {
    if (measurements == null) {
      return 0;
    }
    measurements.step(input, nanos, outputs);
    return nanos;
  }

  /** An output takes effect now. */
  void recordOutput(ControllerNode node, Output output) {
    if (digest != null) {
      digest.add(node.label(), sim.now(), output);
    }
  }
}
