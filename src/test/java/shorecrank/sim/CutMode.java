package shorecrank.sim;

/** What a cut does to messages. */
enum CutMode {
  /** They are lost. */
  DROP,
  /** They arrive when the cut is over. */
  HOLD,
  /** Whoever sends them is told at once that there is no service. */
  REFUSE
}
