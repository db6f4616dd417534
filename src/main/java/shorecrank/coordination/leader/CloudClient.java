package shorecrank.coordination.leader;

import java.util.List;
import java.util.function.Consumer;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudCodec;
import shorecrank.protocol.CloudMessages;
import shorecrank.protocol.CloudMessages.ListedMachine;
import shorecrank.protocol.CloudMessages.Offer;
import shorecrank.protocol.Ids.MachineName;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Json;
import shorecrank.storage.RateLimiter;

/**
 * Calls of the cloud that rent, release and list machines, within its rate limit.
 *
 * <p>Each result comes later, exactly once. A caller takes a call with {@link #tryTake()} before it
 * makes one.
 */
final class CloudClient {
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int UNAVAILABLE = 503;
  private static final String ERROR = "error";
  private static final String NO_CAPACITY = "no capacity";
  private static final int CALL_TIMEOUT_MS = 6000;
  private static final long FAILURE_PAUSE_MS = 1000;

  /** Other controllers read the machine types now and then. */
  private static final double RATE_SHARE = 0.9;

  /** What became of a request to rent. */
  sealed interface RentResult {
    /** These machines were rented, which may be fewer than asked for. */
    record Rented(List<MachineName> machines) implements RentResult {}

    /** The cloud has no machine of the kind. */
    record NoCapacity() implements RentResult {}

    /** The cloud does not understand the request. */
    record Malformed() implements RentResult {}

    /** It may have been carried out, or may yet be. */
    record Unknown() implements RentResult {}
  }

  /** What became of reading a page of the machine list. */
  sealed interface ListingResult {
    /**
     * A page.
     *
     * @param more whether machines follow after the last of these
     */
    record Page(List<ListedMachine> machines, boolean more) implements ListingResult {}

    /** The list could not be read. */
    record Unavailable() implements ListingResult {}
  }

  private final StepContext context;
  private final RateLimiter rateLimiter;
  private MonotonicTime pausedUntil = new MonotonicTime(0);

  CloudClient(StepContext context) {
    this.context = context;
    this.rateLimiter = new RateLimiter(context.config().cloud().rps() * RATE_SHARE);
  }

  /** Takes one call out of the rate limit, if it is there. */
  boolean tryTake() {
    return rateLimiter.tryTake(1, context.now());
  }

  /** A call has failed: none is to be made for a moment. */
  void pause() {
    pausedUntil = context.now().plus(FAILURE_PAUSE_MS);
  }

  /** Whether no call is to be made now. */
  boolean isPaused() {
    return context.now().isBefore(pausedUntil);
  }

  /**
   * Rents machines.
   *
   * @param claim names the request: a second one of the same name rents nothing more
   */
  void rent(String claim, Offer offer, int count, Consumer<RentResult> then) {
    context.callCloud(
        "POST",
        CloudMessages.RENTAL_PATH,
        CloudCodec.writeRental(claim, offer, count),
        CALL_TIMEOUT_MS,
        (status, body) -> {
          if (status == OK) {
            then.accept(new RentResult.Rented(CloudCodec.readRented(body)));
          } else if (status == UNAVAILABLE && NO_CAPACITY.equals(Json.text(body.path(ERROR)))) {
            then.accept(new RentResult.NoCapacity());
          } else if (status == BAD_REQUEST) {
            then.accept(new RentResult.Malformed());
          } else {
            then.accept(new RentResult.Unknown());
          }
        });
  }

  /** Returns machines; {@code then} is told whether the cloud has taken them all. */
  void release(List<MachineName> machines, Consumer<Boolean> then) {
    context.callCloud(
        "POST",
        CloudMessages.RELEASE_PATH,
        CloudCodec.writeRelease(machines),
        CALL_TIMEOUT_MS,
        (status, body) -> then.accept(status == OK));
  }

  /**
   * Reads a page of the machine list.
   *
   * @param after the last machine of the page before; empty for the first page
   */
  void list(String after, Consumer<ListingResult> then) {
    context.callCloud(
        "GET",
        CloudMessages.listPath(after),
        null,
        CALL_TIMEOUT_MS,
        (status, body) ->
            then.accept(
                status == OK
                    ? new ListingResult.Page(CloudCodec.readListed(body), CloudCodec.hasMore(body))
                    : new ListingResult.Unavailable()));
  }
}
