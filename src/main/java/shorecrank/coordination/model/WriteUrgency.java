package shorecrank.coordination.model;

/** How soon a change of a job's record has to be written. */
public enum WriteUrgency {
  /** There is nothing to write. */
  NONE,
  /** It may wait for a while, to go with another change of the record. */
  LATER,
  /** It goes with the next transaction. */
  NOW
}
