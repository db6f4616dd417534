package shorecrank.coordination.step;

import static shorecrank.protocol.HttpStatus.OK;

import shorecrank.protocol.StorePaths;

/** Answers operators' requests with pages of keys, unchanged as the state service returns them. */
public final class StorePageForwarder {
  private final StepContext context;

  /** Creates a forwarder that reads the state service through the given context. */
  public StorePageForwarder(StepContext context) {
    this.context = context;
  }

  /**
   * Reads a page of the keys with a prefix and replies to a request with it.
   *
   * @param after the last key of the previous page; empty for the first page
   * @param limit the maximum number of keys in the page
   * @param reply the number that identifies the request
   * @param fallback run instead of the reply if the state service does not answer with a page
   */
  public void forward(
      String prefix, String after, int limit, int timeoutMs, long reply, Runnable fallback) {
    context.callStore(
        "GET",
        StorePaths.list(prefix, after, limit),
        null,
        timeoutMs,
        (status, body) -> {
          if (status == OK) {
            context.reply(reply, OK, body);
          } else {
            fallback.run();
          }
        });
  }
}
