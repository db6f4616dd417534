package shorecrank.leadership;

import java.util.function.Consumer;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.StoreMessages.Transaction;
import shorecrank.storage.CommitResult;
import shorecrank.storage.ListResult;
import shorecrank.storage.ReadResult;
import shorecrank.storage.WatchResult;

/**
 * The state service as a state machine of the leader calls it: call after call, and not for a while
 * after one that failed.
 *
 * <p>Callers ask {@link #isReady} before they begin; a call is never refused here. Each result is
 * delivered once, on the thread that made the call.
 */
public final class SequentialStore {
  private static final int CALL_TIMEOUT_MS = 2000;

  private final LeaderEnvironment environment;
  private boolean isBusy;
  private MonotonicTime pausedUntil = MonotonicTime.NEVER;

  /** Calls the state service of an environment. */
  public SequentialStore(LeaderEnvironment environment) {
    this.environment = environment;
  }

  /** Whether no call is under way. */
  public boolean isIdle() {
    return !isBusy;
  }

  /** Whether no call is under way and the last pause is over. */
  public boolean isReady() {
    return !isBusy && !environment.now().isBefore(pausedUntil);
  }

  /** Makes {@link #isReady} false for a while from now on. */
  public void pause(long pauseMs) {
    pausedUntil = environment.now().plus(pauseMs);
  }

  /** Reads one key. */
  public void read(String key, Consumer<ReadResult> then) {
    isBusy = true;
    environment.store().read(key, CALL_TIMEOUT_MS, result -> finish(result, then));
  }

  /**
   * Reads a page of the keys with a prefix.
   *
   * @param after the last key of the page before; empty for the first page
   * @param limit the most keys in the page
   */
  public void list(String prefix, String after, int limit, Consumer<ListResult> then) {
    isBusy = true;
    environment.store().list(prefix, after, limit, CALL_TIMEOUT_MS, result -> finish(result, then));
  }

  /** Reads the changes of keys with a prefix since a revision, without waiting for further ones. */
  public void readChanges(String prefix, long afterRevision, Consumer<WatchResult> then) {
    isBusy = true;
    environment
        .store()
        .readChanges(prefix, afterRevision, CALL_TIMEOUT_MS, result -> finish(result, then));
  }

  /** Carries a transaction out if all its guards hold. */
  public void commit(Transaction transaction, Consumer<CommitResult> then) {
    isBusy = true;
    environment.store().commit(transaction, CALL_TIMEOUT_MS, result -> finish(result, then));
  }

  private <R> void finish(R result, Consumer<R> then) {
    isBusy = false;
    then.accept(result);
  }
}
