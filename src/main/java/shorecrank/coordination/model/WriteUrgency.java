package shorecrank.coordination.model;

/** How soon a job's record has to be written to the state service. */
public enum WriteUrgency {
  /** The record has no changes to write. */
  NONE,
  /** The changes may wait for a while, to be written together with later ones. */
  LATER,
  /** The record goes into the next transaction. */
  NOW
}
