package shorecrank.coordination.leader;

import java.util.OptionalLong;
import java.util.function.Consumer;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Json;
import shorecrank.protocol.StoreCodec;
import shorecrank.protocol.StorePaths;

/**
 * Creates, renews and revokes grants of the state service. A grant has a time to live; the state
 * service deletes the keys that are attached to it when it is revoked or not renewed in time.
 */
final class GrantClient {
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int CALL_TIMEOUT_MS = 1500;

  /** The outcome of renewing a grant. */
  enum Renewal {
    /** The grant is valid for its time to live from now on. */
    RENEWED,
    /** The grant has ended, and the keys attached to it are deleted. */
    ENDED,
    /** There was no usable answer, so the grant may or may not be valid. */
    UNKNOWN
  }

  private final StepContext context;

  GrantClient(StepContext context) {
    this.context = context;
  }

  /**
   * Creates a grant.
   *
   * @param ttlMs the time to live in milliseconds
   * @param callback receives the grant's id; empty if it is not known whether the grant exists
   */
  void create(long ttlMs, Consumer<OptionalLong> callback) {
    context.callStore(
        "POST",
        StorePaths.GRANTS,
        StoreCodec.writeGrantRequest(ttlMs),
        CALL_TIMEOUT_MS,
        (status, body) -> {
          long grant = StoreCodec.readGrantId(body);
          callback.accept(
              status != OK || grant < 0 ? OptionalLong.empty() : OptionalLong.of(grant));
        });
  }

  /**
   * Renews a grant.
   *
   * @param callback receives the outcome
   */
  void renew(long grant, Consumer<Renewal> callback) {
    context.callStore(
        "POST",
        StorePaths.grantRenewal(grant),
        Json.object(),
        CALL_TIMEOUT_MS,
        (status, body) ->
            callback.accept(
                switch (status) {
                  case OK -> Renewal.RENEWED;
                  case NOT_FOUND -> Renewal.ENDED;
                  default -> Renewal.UNKNOWN;
                }));
  }

  /**
   * Revokes a grant.
   *
   * @param callback receives whether the grant is known to have ended
   */
  void revoke(long grant, Consumer<Boolean> callback) {
    context.callStore(
        "DELETE",
        StorePaths.grant(grant),
        null,
        CALL_TIMEOUT_MS,
        (status, body) -> callback.accept(status == OK || status == NOT_FOUND));
  }
}
