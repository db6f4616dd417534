package shorecrank.coordination.leader;

import java.util.OptionalLong;
import java.util.function.Consumer;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.Json;
import shorecrank.protocol.StoreCodec;
import shorecrank.protocol.StorePaths;

/**
 * Calls of the state service for grants. A key that hangs on a grant is dropped when the grant
 * ends: when it is revoked, or was not renewed within its time to live.
 */
final class GrantClient {
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int CALL_TIMEOUT_MS = 1500;

  /** What became of renewing a grant. */
  enum Renewal {
    /** It lives on for its time to live. */
    RENEWED,
    /** It has ended, and the keys that hung on it are gone. */
    ENDED,
    /** Nothing is known of it. */
    UNKNOWN
  }

  private final StepContext context;

  GrantClient(StepContext context) {
    this.context = context;
  }

  /** Asks for a grant; {@code then} takes its number, or empty if it is not known to exist. */
  void create(long ttlMs, Consumer<OptionalLong> then) {
    context.callStore(
        "POST",
        StorePaths.GRANTS,
        StoreCodec.writeGrantRequest(ttlMs),
        CALL_TIMEOUT_MS,
        (status, body) -> {
          long grant = StoreCodec.readGrantId(body);
          then.accept(status != OK || grant < 0 ? OptionalLong.empty() : OptionalLong.of(grant));
        });
  }

  /** Renews a grant. */
  void renew(long grant, Consumer<Renewal> then) {
    context.callStore(
        "POST",
        StorePaths.grantRenewal(grant),
        Json.object(),
        CALL_TIMEOUT_MS,
        (status, body) ->
            then.accept(
                switch (status) {
                  case OK -> Renewal.RENEWED;
                  case NOT_FOUND -> Renewal.ENDED;
                  default -> Renewal.UNKNOWN;
                }));
  }

  /** Ends a grant; {@code then} is told whether it is known to have ended. */
  void revoke(long grant, Consumer<Boolean> then) {
    context.callStore(
        "DELETE",
        StorePaths.grant(grant),
        null,
        CALL_TIMEOUT_MS,
        (status, body) -> then.accept(status == OK || status == NOT_FOUND));
  }
}
