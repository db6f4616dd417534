package shorecrank.coordination.request;

/** Why a user is told to repeat a request later. */
enum RetryReason {
  /** Neither this controller nor one that it knows reaches the state service. */
  STORE_UNAVAILABLE("state service unavailable"),

  /** The budget of state requests is used up. */
  NO_REQUESTS_LEFT("state requests are used up"),

  /** The budget of state changes is used up. */
  NO_WRITES_LEFT("state changes are used up"),

  /** The types of machines have not been read since this process began. */
  NO_MACHINE_TYPES("machine types are not known yet"),

  /** A job was there when its creation was refused, and was not when it was looked up. */
  JOB_MOVED("try again"),

  /** The job's record was changed by others at every attempt to change it. */
  RECORD_CONTENDED("busy");

  private static final String METRIC_PREFIX = "user.refused.";

  private final String text;
  private final String metric;

  RetryReason(String text) {
    this.text = text;
    this.metric = METRIC_PREFIX + text.replace(' ', '_');
  }

  /** What the user is told. */
  String text() {
    return text;
  }

  /** The counter of such answers. */
  String metric() {
    return metric;
  }
}
