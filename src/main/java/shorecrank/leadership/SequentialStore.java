package shorecrank.leadership;

import java.util.function.Consumer;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.StoreMessages.Transaction;
import shorecrank.storage.CommitResult;
import shorecrank.storage.ListResult;
import shorecrank.storage.ReadResult;
import shorecrank.storage.WatchResult;

/**
 * Client of the state service for a state machine of the leader that makes one call at a time, with
 * a pause after a failed call.
 *
 * <p>Callers check {@link #isReady} before a call and call {@link #pause} after a failed one; this
 * class enforces neither. Each result is delivered once, on the thread that made the call.
 */
public final class SequentialStore {
  private static final int CALL_TIMEOUT_MS = 2000;

  private final LeaderEnvironment environment;
  private boolean isBusy;
  private MonotonicTime pausedUntil = MonotonicTime.NEVER;

  /** Creates a client that calls the state service of the given environment. */
  public SequentialStore(LeaderEnvironment environment) {
    this.environment = environment;
  }

  /** Reports whether no call is in flight. */
  public boolean isIdle() {
    return !isBusy;
  }

  /** Reports whether no call is in flight and the last pause is over. */
  public boolean isReady() {
    return !isBusy && !environment.now().isBefore(pausedUntil);
  }

  /** Makes {@link #isReady} return false for the given time, in milliseconds from now. */
  public void pause(long pauseMs) {
    pausedUntil = environment.now().plus(pauseMs);
  }

  /** Reads a key. */
  public void read(String key, Consumer<ReadResult> callback) {
    isBusy = true;
    environment.store().read(key, CALL_TIMEOUT_MS, result -> finish(result, callback));
  }

  /**
   * Reads a page of the keys with a prefix.
   *
   * @param after the last key of the previous page; empty for the first page
   * @param limit the maximum number of keys in the page
   */
  public void list(String prefix, String after, int limit, Consumer<ListResult> callback) {
    isBusy = true;
    environment
        .store()
        .list(prefix, after, limit, CALL_TIMEOUT_MS, result -> finish(result, callback));
  }

  /** Reads the changes of keys with a prefix after a revision, without waiting for further ones. */
  public void readChanges(String prefix, long afterRevision, Consumer<WatchResult> callback) {
    isBusy = true;
    environment
        .store()
        .readChanges(prefix, afterRevision, CALL_TIMEOUT_MS, result -> finish(result, callback));
  }

  /** Commits a transaction if all its guards hold. */
  public void commit(Transaction transaction, Consumer<CommitResult> callback) {
    isBusy = true;
    environment.store().commit(transaction, CALL_TIMEOUT_MS, result -> finish(result, callback));
  }

  private <R> void finish(R result, Consumer<R> callback) {
    isBusy = false;
    callback.accept(result);
  }
}
