package shorecrank.sim;

/** Kinds of a controller's network links, by who is at the other end. */
enum LinkKind {
  STATE,
  CLOUD,
  PEERS,
  WORKERS,
  USERS,
  ALL;

  /** Reports whether a cut of this kind of link interrupts links of the other kind. */
  boolean includes(LinkKind other) {
    return this == other || this == ALL;
  }
}
