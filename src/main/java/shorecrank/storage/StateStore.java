package shorecrank.storage;

import java.util.function.Consumer;
import shorecrank.protocol.StoreMessages.Transaction;

/**
 * Client of the state service, a consensus-backed key-value store with compare-and-swap
 * transactions.
 *
 * <p>Every method returns immediately. The callback is called exactly once, later and on the same
 * thread. If the service does not answer within the timeout, the result is {@code Unavailable} or
 * {@code Unknown}; the service may still execute the call. Timeouts are in milliseconds.
 */
public interface StateStore {
  /** Reads one key. */
  void read(String key, int timeoutMs, Consumer<ReadResult> callback);

  /**
   * Lists a page of the keys with a prefix, in ascending order.
   *
   * @param after the last key of the previous page; empty for the first page
   * @param limit the maximum number of keys in the page
   */
  void list(String prefix, String after, int limit, int timeoutMs, Consumer<ListResult> callback);

  /**
   * Waits for changes of keys with a prefix.
   *
   * @param afterRevision only changes of higher revisions are returned
   * @param holdMs how long the service waits for a change before it answers without one, in
   *     milliseconds
   */
  void watch(String prefix, long afterRevision, int holdMs, Consumer<WatchResult> callback);

  /**
   * Reads the changes of keys with a prefix without waiting for further ones.
   *
   * @param afterRevision only changes of higher revisions are returned
   */
  void readChanges(
      String prefix, long afterRevision, int timeoutMs, Consumer<WatchResult> callback);

  /** Commits a transaction if all its guards hold. */
  void commit(Transaction transaction, int timeoutMs, Consumer<CommitResult> callback);
}
