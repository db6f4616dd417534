package shorecrank.client;

/** The exit statuses of the command-line client. */
public final class ExitStatus {
  private ExitStatus() {}

  /** The command succeeded, or what was ordered was already in force. */
  public static final int OK = 0;

  /**
   * The controller refused the request and changed nothing; or an archive file cannot be read or
   * written, is damaged, or differs from the stored keys.
   */
  public static final int REFUSED = 1;

  /** The command line is invalid. */
  public static final int USAGE = 2;

  /**
   * No controller answered. An order may have been carried out; it is safe to send it again with
   * the same id.
   */
  public static final int UNKNOWN = 3;
}
