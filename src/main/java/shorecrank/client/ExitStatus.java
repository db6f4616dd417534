package shorecrank.client;

/** The exit statuses of the client. */
public final class ExitStatus {
  private ExitStatus() {}

  /** Done, or in force already. */
  public static final int OK = 0;

  /** Refused, damaged, or different; nothing was changed. */
  public static final int REFUSED = 1;

  /** The command line is wrong. */
  public static final int USAGE = 2;

  /** No controller could tell: an order may have been carried out, and may be sent again. */
  public static final int UNKNOWN = 3;
}
