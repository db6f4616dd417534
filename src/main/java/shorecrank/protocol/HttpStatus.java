package shorecrank.protocol;

/** HTTP status codes that controllers, their clients and the services they call use. */
public final class HttpStatus {
  /** Stands for an answer that did not arrive in time; not an HTTP status code. */
  public static final int NO_ANSWER = 0;

  public static final int OK = 200;
  public static final int CREATED = 201;
  public static final int BAD_REQUEST = 400;
  public static final int NOT_FOUND = 404;
  public static final int METHOD_NOT_ALLOWED = 405;
  public static final int CONFLICT = 409;

  /** The requested data is no longer kept. */
  public static final int GONE = 410;

  /** The request has to go to another controller. */
  public static final int MISDIRECTED = 421;

  /** The submission is well formed but can never be accepted. */
  public static final int UNPROCESSABLE = 422;

  public static final int TOO_MANY_REQUESTS = 429;

  /** The lowest of the status codes for server errors. */
  public static final int SERVER_ERROR = 500;

  public static final int UNAVAILABLE = 503;

  private HttpStatus() {}
}
