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
 * Creates one archive of the state service's keys and stores it in the state service.
 *
 * <p>The keys are listed page by page, then the changes made meanwhile are read prefix by prefix.
 * Each answer with changes is complete up to its own revision. Changes above the lowest of these
 * revisions are left out, so that the archive holds the keys as they were at that revision. If the
 * service no longer has all changes, or that revision is below one at which a page was listed, the
 * manifest marks the archive as not consistent.
 *
 * <p>At most one call is in flight. Every write is guarded by the leader's term. A write of unknown
 * outcome is repeated with the same guards.
 */
final class ArchiveTask {
  private static final int PAGE_KEYS = 200;
  private static final long RETRY_MS = 1000;

  /** The steps of the task, in the order in which they are taken. */
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

  /**
   * Index in {@link ArchiveKeys#ARCHIVED_PREFIXES} of the prefix whose keys are listed or whose
   * changes are read.
   */
  private int prefixIndex;

  /** Last key of the pages listed so far under the current prefix; empty before the first page. */
  private String lastListedKey = "";

  /** Revision of the state service at the first listed page; negative before that page is read. */
  private long firstRevision = -1;

  /** Highest revision of the state service at any listed page. */
  private long listedUpToRevision;

  /** Changes made since {@link #firstRevision}, read so far. */
  private final List<Change> changes = new ArrayList<>();

  /** Revision up to which the changes of every prefix read so far are complete. */
  private long changesUpToRevision = Long.MAX_VALUE;

  /** Whether the state service no longer had the changes of some prefix. */
  private boolean areChangesLost;

  /** The chunk that is being written; null if none is. */
  private byte[] chunk;

  private int chunksWritten;
  private long bytesWritten;

  /**
   * Creates a task for an archive that is not started yet.
   *
   * @param id the archive's id
   * @param build the version of this program, for the manifest
   * @param level the feature level in force, for the manifest
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

  /** Returns the archive's id. */
  String id() {
    return id;
  }

  /** Reports whether the archive has been written completely. */
  boolean isDone() {
    return step == Step.DONE;
  }

  /** Reports whether the archive was abandoned. */
  boolean isFailed() {
    return step == Step.FAILED;
  }

  /** Takes the next step, if the previous call is answered; sends at most one call. */
  void tick() {
    if (isDone() || isFailed() || !store.isReady() || !environment.hasRequestBudget()) {
      return;
    }
    // Chunks are written before more keys are read, to bound the memory that buffered output takes.
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

  // ---- reading keys and changes ----------------------------------------------------------------

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

  /**
   * Moves on to the next prefix; after the last prefix, starts over at the first one with the step
   * {@code afterLast}.
   */
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

  // ---- writing the index entry and chunks ------------------------------------------------------

  private void commit(Transaction transaction, Consumer<CommitResult> callback) {
    leadership.guard(transaction);
    store.commit(transaction, callback);
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
    // No other process writes keys with this archive's id. A chunk that exists already was written
    // by an earlier attempt of this task whose answer was lost.
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
