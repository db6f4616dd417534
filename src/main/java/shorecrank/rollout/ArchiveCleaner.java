package shorecrank.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import shorecrank.leadership.LeaderEnvironment;
import shorecrank.leadership.Leadership;
import shorecrank.leadership.SequentialStore;
import shorecrank.protocol.StoreMessages.Entry;
import shorecrank.protocol.StoreMessages.Transaction;
import shorecrank.rollout.ArchiveKeys.IndexEntry;
import shorecrank.storage.CommitResult;
import shorecrank.storage.ListResult;

/**
 * Deletes the oldest archives beyond the number that is kept, and the remains of archives that were
 * never completed.
 *
 * <p>An archive's index entry is deleted after its chunks. If the deletion is interrupted, the
 * index entry is still there and the next scan of the index finds the archive again.
 */
final class ArchiveCleaner {
  private static final int PAGE_KEYS = 500;
  private static final long RETRY_MS = 1000;

  private final LeaderEnvironment environment;
  private final Leadership leadership;
  private final SequentialStore store;
  private final int archivesToKeep;

  /** Keys still to be deleted, in the order of deletion. */
  private final ArrayDeque<String> toRemove = new ArrayDeque<>();

  /** Whether the index entries of all archives have to be listed again. */
  private boolean isScanDue = true;

  /**
   * Creates a cleaner whose first {@link #tick} scans the index.
   *
   * @param archivesToKeep the number of complete archives that are kept
   */
  ArchiveCleaner(LeaderEnvironment environment, Leadership leadership, int archivesToKeep) {
    this.environment = environment;
    this.leadership = leadership;
    this.store = new SequentialStore(environment);
    this.archivesToKeep = archivesToKeep;
  }

  /** Requests a new scan of the index, for example because another archive has been completed. */
  void scheduleScan() {
    isScanDue = true;
  }

  /**
   * Sends the next call, if one is due: a deletion, or a scan of the index. Called once per round
   * while no archive is being written.
   */
  void tick() {
    if (!store.isReady()) {
      return;
    }
    if (!toRemove.isEmpty()) {
      removeBatch();
    } else if (isScanDue && environment.hasRequestBudget()) {
      store.list(ArchiveKeys.INDEX_PREFIX, "", PAGE_KEYS, this::handleArchiveList);
    }
  }

  private void handleArchiveList(ListResult result) {
    if (!(result instanceof ListResult.Page page)) {
      store.pause(RETRY_MS);
      return;
    }
    isScanDue = false;
    List<IndexEntry> complete = new ArrayList<>();
    for (Entry stored : page.entries()) {
      Optional<IndexEntry> entry = ArchiveValueCodec.readIndex(stored.key(), stored.value());
      if (entry.isEmpty()) {
        environment.reportError(
            "state.unreadable", "store.value.unreadable key=%s".formatted(stored.key()));
      } else if (entry.get().isComplete()) {
        complete.add(entry.get());
      } else {
        // The index entry of an incomplete archive was written before the archive's chunks, so it
        // does not say how many there are.
        listChunks(entry.get().id());
      }
    }
    // Archive ids begin with the time of creation, so the index lists the oldest archives first.
    for (int i = 0; i < complete.size() - archivesToKeep; i++) {
      IndexEntry expired = complete.get(i);
      for (int chunk = 0; chunk < expired.chunks(); chunk++) {
        toRemove.add(ArchiveKeys.chunkKey(expired.id(), chunk));
      }
      toRemove.add(ArchiveKeys.indexKey(expired.id()));
    }
  }

  /**
   * Schedules the deletion of an incomplete archive's chunks and index entry. If more than one page
   * of chunks exists, only the first page is scheduled and the next scan continues.
   */
  private void listChunks(String id) {
    store.list(
        ArchiveKeys.chunkPrefix(id),
        "",
        PAGE_KEYS,
        result -> {
          if (!(result instanceof ListResult.Page page)) {
            isScanDue = true;
            return;
          }
          page.entries().forEach(entry -> toRemove.add(entry.key()));
          if (page.more()) {
            isScanDue = true;
          } else {
            toRemove.add(ArchiveKeys.indexKey(id));
          }
        });
  }

  private void removeBatch() {
    int count = Math.min(toRemove.size(), environment.maxTransactionOperations());
    if (!environment.tryTakeWrites(count)) {
      return;
    }
    Transaction transaction = new Transaction();
    leadership.guard(transaction);
    List<String> batch = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      batch.add(toRemove.poll());
    }
    batch.forEach(transaction::delete);
    store.commit(transaction, result -> handleRemoval(batch, result));
  }

  private void handleRemoval(List<String> batch, CommitResult result) {
    if (!result.isCommitted()) {
      store.pause(RETRY_MS);
      // The keys of the batch may have been deleted already; deleting them again has no effect.
      for (int i = batch.size() - 1; i >= 0; i--) {
        toRemove.addFirst(batch.get(i));
      }
    }
  }
}
