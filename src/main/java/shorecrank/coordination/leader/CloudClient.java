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
 * Rents, releases and lists machines of the cloud, within its rate limit.
 *
 * <p>Each call passes its result to a callback later, exactly once. The caller has to call {@link
 * #tryTake()} before each call to the cloud, and sends none if that returns false.
 */
final class CloudClient {
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int UNAVAILABLE = 503;
  private static final String ERROR = "error";
  private static final String NO_CAPACITY = "no capacity";
  private static final int CALL_TIMEOUT_MS = 6000;
  private static final long FAILURE_PAUSE_MS = 1000;

  /**
   * The part of the cloud's rate limit that the leader uses; the rest is left for the other
   * controllers, which read the machine types from time to time.
   */
  private static final double RATE_SHARE = 0.9;

  /** The outcome of a request to rent machines. */
  sealed interface RentResult {
    /** The machines that were rented; possibly fewer than requested. */
    record Rented(List<MachineName> machines) implements RentResult {}

    /** The cloud has no capacity for this offer. */
    record NoCapacity() implements RentResult {}

    /** The cloud rejected the request as malformed. */
    record Malformed() implements RentResult {}

    /** There was no usable answer: the request may have been carried out, or may still be. */
    record Unknown() implements RentResult {}
  }

  /** The outcome of reading a page of the machine list. */
  sealed interface ListingResult {
    /**
     * A page of the machine list.
     *
     * @param more whether there are machines after this page
     */
    record Page(List<ListedMachine> machines, boolean more) implements ListingResult {}

    /** The page could not be read. */
    record Unavailable() implements ListingResult {}
  }

  private final StepContext context;
  private final RateLimiter rateLimiter;
  private MonotonicTime pausedUntil = new MonotonicTime(0);

  CloudClient(StepContext context) {
    this.context = context;
    this.rateLimiter = new RateLimiter(context.config().cloud().rps() * RATE_SHARE);
  }

  /**
   * Takes one call from the cloud's rate limit.
   *
   * @return false if the rate limit allows no call now; then nothing is taken
   */
  boolean tryTake() {
    return rateLimiter.tryTake(1, context.now());
  }

  /** Makes {@link #isPaused} return true for {@link #FAILURE_PAUSE_MS}, after a call has failed. */
  void pause() {
    pausedUntil = context.now().plus(FAILURE_PAUSE_MS);
  }

  /** Reports whether no call is to be sent because a call failed recently. */
  boolean isPaused() {
    return context.now().isBefore(pausedUntil);
  }

  /**
   * Rents machines of an offer.
   *
   * @param claim the idempotency key: repeating a request with the same key rents no further
   *     machines
   * @param callback receives the outcome
   */
  void rent(String claim, Offer offer, int count, Consumer<RentResult> callback) {
    context.callCloud(
        "POST",
        CloudMessages.RENTAL_PATH,
        CloudCodec.writeRental(claim, offer, count),
        CALL_TIMEOUT_MS,
        (status, body) -> {
          if (status == OK && CloudCodec.hasMachines(body)) {
            callback.accept(new RentResult.Rented(CloudCodec.readRented(body)));
          } else if (status == UNAVAILABLE && NO_CAPACITY.equals(Json.text(body.path(ERROR)))) {
            callback.accept(new RentResult.NoCapacity());
          } else if (status == BAD_REQUEST) {
            callback.accept(new RentResult.Malformed());
          } else {
            callback.accept(new RentResult.Unknown());
          }
        });
  }

  /**
   * Releases machines.
   *
   * @param callback receives whether the cloud has taken all of them back
   */
  void release(List<MachineName> machines, Consumer<Boolean> callback) {
    context.callCloud(
        "POST",
        CloudMessages.RELEASE_PATH,
        CloudCodec.writeRelease(machines),
        CALL_TIMEOUT_MS,
        (status, body) -> callback.accept(status == OK));
  }

  /**
   * Reads a page of the machine list.
   *
   * @param after the name of the last machine of the previous page; empty for the first page
   * @param callback receives the page, or the failure
   */
  void list(String after, Consumer<ListingResult> callback) {
    context.callCloud(
        "GET",
        CloudMessages.listPath(after),
        null,
        CALL_TIMEOUT_MS,
        (status, body) ->
            callback.accept(
                status == OK && CloudCodec.hasMachines(body)
                    ? new ListingResult.Page(CloudCodec.readListed(body), CloudCodec.hasMore(body))
                    : new ListingResult.Unavailable()));
  }
}
