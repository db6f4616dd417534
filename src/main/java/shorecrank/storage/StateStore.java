package shorecrank.storage;

import java.util.function.Consumer;
import shorecrank.protocol.StoreMessages.Transaction;

/**
 * The state service: a consensus-backed key-value store with compare-and-swap transactions.
 *
 * <p>Every call returns at once; its result comes later, on the same thread, exactly once. A call
 * that gets no answer within its timeout, in milliseconds, has the result that says so; it may
 * still be carried out.
 */
public interface StateStore {
  /** Reads one key. */
  void read(String key, int timeoutMs, Consumer<ReadResult> then);

  /**
   * Reads a page of the keys with a prefix, in their order.
   *
   * @param after the last key of the page before; empty for the first page
   * @param limit the most keys in the page
   */
  void list(String prefix, String after, int limit, int timeoutMs, Consumer<ListResult> then);

  /**
   * Waits for changes of keys with a prefix after a revision.
   *
   * @param holdMs how long the service waits for a change before it answers without one
   */
  void watch(String prefix, long afterRevision, int holdMs, Consumer<WatchResult> then);

  /** Reads the changes of keys with a prefix after a revision, without waiting for further ones. */
  void readChanges(String prefix, long afterRevision, int timeoutMs, Consumer<WatchResult> then);

  /** Carries a transaction out if all its guards hold. */
  void commit(Transaction transaction, int timeoutMs, Consumer<CommitResult> then);
}
