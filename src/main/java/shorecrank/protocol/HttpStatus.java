package shorecrank.protocol;

/** The statuses of HTTP that controllers, their clients and the services they call use. */
public final class HttpStatus {
  /** No answer came in time; no status of HTTP. */
  public static final int NO_ANSWER = 0;

  public static final int OK = 200;
  public static final int CREATED = 201;
  public static final int BAD_REQUEST = 400;
  public static final int NOT_FOUND = 404;
  public static final int METHOD_NOT_ALLOWED = 405;
  public static final int CONFLICT = 409;

  /** What was asked for is no longer kept. */
  public static final int GONE = 410;

  /** The request belongs to another controller. */
  public static final int MISDIRECTED = 421;

  /** A submission is well formed and can never be accepted. */
  public static final int UNPROCESSABLE = 422;

  public static final int TOO_MANY_REQUESTS = 429;

  /** The first of the statuses that tell of a fault of the server. */
  public static final int SERVER_ERROR = 500;

  public static final int UNAVAILABLE = 503;

  private HttpStatus() {}
}
