package shorecrank.coordination.request;

import java.util.Locale;

/** Where a controller looks for the status that a user's query asks for. */
public enum QuerySource {
  /** Nothing was asked yet. */
  NONE,

  /** The shard's owner is this process. */
  OWNER_LOCAL,

  /** The shard's owner is another controller. */
  OWNER_REMOTE,

  /** The state service, or a final record in memory. */
  STORE,

  /** Another controller, which answers in place of this one. */
  FORWARDED;

  private final String label = name().toLowerCase(Locale.ROOT);

  /** Returns the name that metrics and log lines use. */
  String label() {
    return label;
  }
}
