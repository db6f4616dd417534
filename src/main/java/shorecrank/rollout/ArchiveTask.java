package shorecrank.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import shorecrank.leadership.LeaderEnvironment;
import shorecrank.leadership.Leadership;
import shorecrank.leadership.SequentialStore;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.RolloutMessages.FeatureLevel;
import shorecrank.protocol.StoreMessages.Change;
import shorecrank.protocol.StoreMessages.Entry;
import shorecrank.protocol.StoreMessages.Transaction;
import shorecrank.rollout.ArchiveFormat.Manifest;
import shorecrank.rollout.ArchiveKeys.IndexEntry;
import shorecrank.storage.CommitResult;
import shorecrank.storage.ListResult;
import shorecrank.storage.WatchResult;

/**
 * Makes one archive of the service's keys, and stores it in the state service.
 *
 * <p>Keys are listed page by page, then the changes made meanwhile are read = =prefixIndex == by
 * prefix. Each of these answers reaches up to some revision; changes above the lowest of them are
 * left out, so the archive shows the keys at that one revision. Where the service no longer has the
 * changes, the archive says that it is not consistent.
 *
 * <p>One call is under way at a time. Every write is behind the leader's term; a write of unknown
 * outcome is repeated behind the same guard.
 */
final class ArchiveTask {
  private static final int PAGE_KEYS = 200;
  private static final long RETRY_MS = 1000;

  /** The steps of the task, in their order. */
  private enum Step {
    ANNOUNCE,
    LIST,
    READ_CHANGES,
    WRITE_CHUNKS,
    COMPLETE,
    DONE,
    FAILED
  }

  private final LeaderEnvironment environment;
  private final Leadership leadership;
  private final SequentialStore store;
  private final String id;
  private final String build;
  private final FeatureLevel level;
  private final ArchiveWriter writer = new ArchiveWriter();

  private Step step = Step.ANNOUNCE;

  /** The index of the = =prefixIndex == that is being listed, or whose changes are being read. */
  private int prefixIndex;

  private String lastListedKey = "";

  /** The lowest and the highest revision of a listed page; the lowest is negative before one. */
  private long firstRevision = -1;

  private long listedUpToRevision;

  /** Changes made while the keys were listed, and up to which revision they are complete. */
  private final List<Change> changes = new ArrayList<>();

  private long changesUpToRevision = Long.MAX_VALUE;
  private boolean areChangesLost;

  /** The chunk that is being written; null if there is none. */
  private byte[] chunk;

  private int chunksWritten;
  private long bytesWritten;

  /**
   * @param build the version of this program
   * @param level the feature level in force
   */
  ArchiveTask(
      LeaderEnvironment environment,
      Leadership leadership,
      String id,
      String build,
      FeatureLevel level) {
    this.environment = environment;
    this.leadership = leadership;
    this.store = new SequentialStore(environment);
    this.id = id;
    this.build = build;
    this.level = level;
  }

  /** The archive's id. */
  String id() {
    return id;
  }

  /** Whether the archive is complete. */
  boolean isDone() {
    return step == Step.DONE;
  }

  /** Whether the archive was given up. */
  boolean isFailed() {
    return step == Step.FAILED;
  }

  /** Goes on with the archive, by one call at most. */
  void tick() {
    if (isDone() || isFailed() || !store.isReady() || !environment.hasRequestBudget()) {
      return;
    }
    // What is ready is written before more is read, so that little is held in memory.
    if (chunk != null || writer.availableBytes() >= maxChunkBytes()) {
      writeChunk();
      return;
    }
    switch (step) {
      case ANNOUNCE -> writeIndex(false, Step.LIST);
      case LIST -> list();
      case READ_CHANGES -> readChanges();
      case WRITE_CHUNKS -> {
        if (writer.availableBytes() > 0) {
          writeChunk();
        } else {
          step = Step.COMPLETE;
        }
      }
      case COMPLETE -> writeIndex(true, Step.DONE);
      case DONE, FAILED -> {}
    }
  }

  private int maxChunkBytes() {
    return ArchiveKeys.maxChunkBytes(environment.maxValueBytes());
  }

  // ---- reading ---------------------------------------------------------------------------------

  private void list() {
    store.list(
        ArchiveKeys.ARCHIVED_PREFIXES.get(prefixIndex),
        lastListedKey,
        PAGE_KEYS,
        result -> {
          if (result instanceof ListResult.Page page) {
            addPage(page);
          } else {
            store.pause(RETRY_MS);
          }
        });
  }

  private void addPage(ListResult.Page page) {
    firstRevision = firstRevision < 0 ? page.revision() : firstRevision;
    listedUpToRevision = Math.max(listedUpToRevision, page.revision());
    List<Entry> entries = page.entries();
    if (!entries.isEmpty()) {
      writer.addEntries(ArchiveFormat.writeEntries(entries));
      lastListedKey = entries.get(entries.size() - 1).key();
    }
    if (!page.more() || entries.isEmpty()) {
      advancePrefix(Step.READ_CHANGES);
    }
  }

  /** Goes over to the next prefix, and after the last one to the next step. */
  private void advancePrefix(Step afterLast) {
    lastListedKey = "";
    prefixIndex++;
    if (prefixIndex == ArchiveKeys.ARCHIVED_PREFIXES.size()) {
      prefixIndex = 0;
      step = afterLast;
    }
  }

  private void readChanges() {
    store.readChanges(
        ArchiveKeys.ARCHIVED_PREFIXES.get(prefixIndex),
        firstRevision,
        result -> {
          if (result instanceof WatchResult.Changes read) {
            changes.addAll(read.changes());
            changesUpToRevision = Math.min(changesUpToRevision, read.revision());
          } else if (result instanceof WatchResult.Compacted) {
            areChangesLost = true;
          } else {
            store.pause(RETRY_MS);
            return;
          }
          advancePrefix(Step.WRITE_CHUNKS);
          if (step == Step.WRITE_CHUNKS) {
            finishReading();
          }
        });
  }

  private void finishReading() {
    boolean isConsistent = !areChangesLost && changesUpToRevision >= listedUpToRevision;
    long revision = areChangesLost ? listedUpToRevision : changesUpToRevision;
    changes.removeIf(change -> change.revision().value() > revision);
    if (!changes.isEmpty()) {
      writer.addChanges(ArchiveFormat.writeChanges(changes));
    }
    writer.finish(
        new Manifest(
            id, build, level.value(), firstRevision, revision, isConsistent, environment.wallMs()));
  }

  // ---- writing ---------------------------------------------------------------------------------

  private void commit(Transaction transaction, Consumer<CommitResult> then) {
    leadership.guard(transaction);
    store.commit(transaction, then);
  }

  private void writeChunk() {
    if (!environment.tryTakeWrites(1)) {
      return;
    }
    if (chunk == null) {
      chunk = writer.take(maxChunkBytes());
    }
    String key = ArchiveKeys.chunkKey(id, chunksWritten);
    Transaction transaction =
        new Transaction()
            .guard(key, Revision.ABSENT)
            .write(key, ArchiveValueCodec.writeChunk(chunk));
    commit(transaction, result -> handleChunkResult(key, result));
  }

  private void handleChunkResult(String key, CommitResult result) {
    // Nobody else writes under this id: a chunk that exists is this task's, written without answer.
    boolean existed =
        result instanceof CommitResult.Conflict conflict && conflict.failedKeys().contains(key);
    if (result.isCommitted() || existed) {
      chunksWritten++;
      bytesWritten += chunk.length;
      chunk = null;
    } else {
      failOrRetry(result);
    }
  }

  private void writeIndex(boolean isComplete, Step next) {
    if (!environment.tryTakeWrites(1)) {
      return;
    }
    IndexEntry entry = new IndexEntry(id, isComplete, chunksWritten, bytesWritten);
    Transaction transaction =
        new Transaction().write(ArchiveKeys.indexKey(id), ArchiveValueCodec.writeIndex(entry));
    commit(
        transaction,
        result -> {
          if (!result.isCommitted()) {
            failOrRetry(result);
            return;
          }
          step = next;
          if (isComplete) {
            environment.info(
                "archive.written id=%s chunks=%d bytes=%d consistent=%s",
                id, chunksWritten, bytesWritten, !areChangesLost);
          }
        });
  }

  private void failOrRetry(CommitResult result) {
    if (result instanceof CommitResult.Conflict) {
      fail("this process no longer leads");
    } else if (result instanceof CommitResult.TooLarge refusal) {
      fail("refused: " + refusal.answer());
    } else {
      store.pause(RETRY_MS);
    }
  }

  private void fail(String reason) {
    step = Step.FAILED;
    environment.info("archive.failed id=%s reason=\"%s\"", id, reason);
  }
}
