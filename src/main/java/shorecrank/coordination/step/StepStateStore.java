package shorecrank.coordination.step;

import static shorecrank.protocol.HttpStatus.BAD_REQUEST;
import static shorecrank.protocol.HttpStatus.CONFLICT;
import static shorecrank.protocol.HttpStatus.GONE;
import static shorecrank.protocol.HttpStatus.NOT_FOUND;
import static shorecrank.protocol.HttpStatus.NO_ANSWER;
import static shorecrank.protocol.HttpStatus.OK;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.StoreCodec;
import shorecrank.protocol.StoreMessages;
import shorecrank.protocol.StoreMessages.Transaction;
import shorecrank.protocol.StorePaths;
import shorecrank.storage.CommitResult;
import shorecrank.storage.ListResult;
import shorecrank.storage.ReadResult;
import shorecrank.storage.StateStore;
import shorecrank.storage.WatchResult;

/** Client of the state service whose calls and answers are outputs and inputs of steps. */
final class StepStateStore implements StateStore {
  /** The part of a watch's timeout that exceeds the time the service may hold the call open. */
  private static final int WATCH_MARGIN_MS = 3000;

  private final StepContext context;

  StepStateStore(StepContext context) {
    this.context = context;
  }

  @Override
  public void read(String key, int timeoutMs, Consumer<ReadResult> callback) {
    context.callStore(
        "GET",
        StorePaths.key(key),
        null,
        timeoutMs,
        (status, body) -> callback.accept(readResult(status, body)));
  }

  private static ReadResult readResult(int status, JsonNode body) {
    return switch (status) {
      case OK ->
          StoreCodec.isEntry(body)
              ? new ReadResult.Found(StoreCodec.readEntry(body))
              : new ReadResult.Unavailable(NO_ANSWER);
      case NOT_FOUND -> new ReadResult.Absent(StoreCodec.readRevision(body));
      default -> new ReadResult.Unavailable(status);
    };
  }

  @Override
  public void list(
      String prefix, String after, int limit, int timeoutMs, Consumer<ListResult> callback) {
    context.callStore(
        "GET",
        StorePaths.list(prefix, after, limit),
        null,
        timeoutMs,
        (status, body) -> callback.accept(listResult(status, body)));
  }

  private static ListResult listResult(int status, JsonNode body) {
    if (status != OK) {
      return new ListResult.Unavailable(status);
    }
    if (!StoreCodec.isPage(body)) {
      return new ListResult.Unavailable(NO_ANSWER);
    }
    return new ListResult.Page(
        StoreCodec.readEntries(body), StoreCodec.readRevision(body), StoreCodec.hasMore(body));
  }

  @Override
  public void watch(String prefix, long afterRevision, int holdMs, Consumer<WatchResult> callback) {
    context.callStore(
        "GET",
        StorePaths.watch(prefix, afterRevision, holdMs),
        null,
        holdMs + WATCH_MARGIN_MS,
        (status, body) -> callback.accept(watchResult(status, body)));
  }

  @Override
  public void readChanges(
      String prefix, long afterRevision, int timeoutMs, Consumer<WatchResult> callback) {
    context.callStore(
        "GET",
        StorePaths.watch(prefix, afterRevision, 0),
        null,
        timeoutMs,
        (status, body) -> callback.accept(watchResult(status, body)));
  }

  private static WatchResult watchResult(int status, JsonNode body) {
    return switch (status) {
      case OK ->
          StoreCodec.isChanges(body)
              ? new WatchResult.Changes(StoreCodec.readChanges(body), StoreCodec.readRevision(body))
              : new WatchResult.Unavailable(NO_ANSWER);
      case GONE -> new WatchResult.Compacted();
      default -> new WatchResult.Unavailable(status);
    };
  }

  @Override
  public void commit(Transaction transaction, int timeoutMs, Consumer<CommitResult> callback) {
    context.callStore(
        "POST",
        StorePaths.TRANSACTION,
        transaction.body(),
        timeoutMs,
        (status, body) -> callback.accept(commitResult(status, body)));
  }

  private static CommitResult commitResult(int status, JsonNode body) {
    return switch (status) {
      case OK ->
          StoreCodec.readRevision(body) >= 0
              ? new CommitResult.Committed(new Revision(StoreCodec.readRevision(body)))
              : new CommitResult.Unknown(NO_ANSWER);
      case CONFLICT -> new CommitResult.Conflict(StoreCodec.readFailedKeys(body));
      case BAD_REQUEST -> new CommitResult.TooLarge(String.valueOf(body));
      default ->
          StoreMessages.isNotCarriedOut(status)
              ? new CommitResult.Refused(status)
              : new CommitResult.Unknown(status);
    };
  }
}
