package shorecrank.sim;

/** What a cut does to messages. */
enum CutMode {
  /** Messages are lost. */
  DROP,
  /** Messages are delivered when the cut ends. */
  HOLD,
  /** The sender is told at once that the service is unavailable. */
  REFUSE
}
