package shorecrank.coordination.step;

import static shorecrank.protocol.HttpStatus.OK;

import shorecrank.protocol.StorePaths;

/** Pages of keys that go to an operator just as the state service answers them. */
public final class StorePageForwarder {
  private final StepContext context;

  /** Creates the access of one controller. */
  public StorePageForwarder(StepContext context) {
    this.context = context;
  }

  /**
   * Reads a page of the keys with a prefix and answers a request with it.
   *
   * @param after the last key of the page before; empty for the first page
   * @param limit the most keys in the page
   * @param reply where the answer goes
   * @param unavailable run instead if the state service does not answer with a page
   */
  public void forward(
      String prefix, String after, int limit, int timeoutMs, long reply, Runnable unavailable) {
    context.callStore(
        "GET",
        StorePaths.list(prefix, after, limit),
        null,
        timeoutMs,
        (status, body) -> {
          if (status == OK) {
            context.reply(reply, OK, body);
          } else {
            unavailable.run();
          }
        });
  }
}
