package shorecrank.sim;

/** Kinds of connections of a controller, by who is at the other end. */
enum LinkKind {
  STATE,
  CLOUD,
  PEERS,
  WORKERS,
  USERS,
  ALL;

  /** Whether a cut of these links stops what goes over those. */
  boolean includes(LinkKind other) {
    return this == other || this == ALL;
  }
}
