package shorecrank.coordination.request;

/** The reason why a user is told to repeat a request later. */
enum RetryReason {
  /** The state service answers neither this controller nor one that could take the request. */
  STORE_UNAVAILABLE("state service unavailable"),

  /** The budget of state requests is exhausted. */
  REQUEST_BUDGET_EXHAUSTED("state requests are used up"),

  /** The budget of writes to the state service is exhausted. */
  WRITE_BUDGET_EXHAUSTED("state changes are used up"),

  /** This process has not read the catalog of machine types yet. */
  MACHINE_TYPES_UNKNOWN("machine types are not known yet"),

  /** The creation of a job found an existing record, but the lookup after it found none. */
  JOB_DISAPPEARED("try again"),

  /** No attempt to write the job's record succeeded: it changed each time, or no answer came. */
  RECORD_CONFLICT("busy");

  private static final String METRIC_PREFIX = "user.refused.";

  private final String text;
  private final String metric;

  RetryReason(String text) {
    this.text = text;
    this.metric = METRIC_PREFIX + label();
  }

  /** Returns the error message for the user. */
  String text() {
    return text;
  }

  /** Returns the reason as one word, for log lines and metrics. */
  String label() {
    return text.replace(' ', '_');
  }

  /** Returns the name of the metric that counts answers with this reason. */
  String metric() {
    return metric;
  }
}
